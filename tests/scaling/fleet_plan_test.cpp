#include "poplarspool/scaling/fleet_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::scaling {

namespace {

using namespace std::chrono_literals;

fleet_traits sampleTraits()
{
    return {1, 70, 4s, 0.22};
}

zone_fleet zoneOf(const std::string &name, std::uint32_t regular, std::uint32_t spot)
{
    zone_fleet made;
    made.zone = {name};
    made.size = 35;
    made.regular = regular;
    made.spot = spot;
    return made;
}

/// All spot runners of the zone are there, as ordered, beside one regular one.
zone_fleet replacedZone(const std::string &name)
{
    zone_fleet made = zoneOf(name, 1, 34);
    made.regularOrdered = 1;
    made.spotOrdered = 34;
    return made;
}

/// With as many more as two zones need to lose one.
zone_fleet sparedZone(const std::string &name)
{
    zone_fleet made = zoneOf(name, 1, 69);
    made.regularOrdered = 1;
    made.spotOrdered = 69;
    return made;
}

std::vector<fleet_order> planOf(const std::vector<zone_fleet> &zones)
{
    return planFleet(sampleTraits(), zones);
}

} // namespace

class fleet_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_plan_test);
    CPPUNIT_TEST(spotRunnersAreOrderedFirst);
    CPPUNIT_TEST(regularOnesLeaveAsTheOthersServe);
    CPPUNIT_TEST(ofSeveralZonesOneMayBeLost);
    CPPUNIT_TEST(aFleetAsPlannedStays);
    CPPUNIT_TEST(bothKindsStayBelowTheBound);
    CPPUNIT_TEST(whatIsDryIsNotAskedFor);
    CPPUNIT_TEST(oneReclaimedZoneIsOnlyOrderedAgain);
    CPPUNIT_TEST(twoReclaimedZonesBringRegularOnesBack);
    CPPUNIT_TEST(spotRunnersThatSaveNothingAreNotOrdered);
    CPPUNIT_TEST(notesSurviveTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against seconds in which nobody serves.
    void spotRunnersAreOrderedFirst()
    {
        CPPUNIT_ASSERT(planOf({zoneOf("a", 35, 0)})
                       == (std::vector<fleet_order>{{{"a"}, true, 34}}));
    }

    void regularOnesLeaveAsTheOthersServe()
    {
        zone_fleet booting = zoneOf("a", 35, 30);
        booting.spotOrdered = 34;
        CPPUNIT_ASSERT(planOf({booting}) == (std::vector<fleet_order>{{{"a"}, false, 5}}));
        booting.regularOrdered = 5;
        CPPUNIT_ASSERT(planOf({booting}).empty());
        booting.spot = 34;
        CPPUNIT_ASSERT(planOf({booting}) == (std::vector<fleet_order>{{{"a"}, false, 1}}));
    }

    /// All spot runners of a zone go at once.
    void ofSeveralZonesOneMayBeLost()
    {
        const auto orders = planOf(
                {replacedZone("a"), replacedZone("b"), replacedZone("c"), replacedZone("d")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, orders.size());
        CPPUNIT_ASSERT(orders[0] == (fleet_order{{"a"}, true, 46}));
        CPPUNIT_ASSERT(3 * (orders[0].wanted + 1) >= 4 * 35);
    }

    void aFleetAsPlannedStays()
    {
        CPPUNIT_ASSERT(planOf({replacedZone("a")}).empty());
        CPPUNIT_ASSERT(planOf({sparedZone("a"), sparedZone("b")}).empty());
    }

    void bothKindsStayBelowTheBound()
    {
        zone_fleet full = zoneOf("a", 60, 0);
        full.size = 60;
        CPPUNIT_ASSERT(planOf({full}) == (std::vector<fleet_order>{{{"a"}, true, 10}}));
    }

    void whatIsDryIsNotAskedFor()
    {
        zone_fleet dry = zoneOf("a", 35, 0);
        dry.isSpotDry = true;
        CPPUNIT_ASSERT(planOf({dry}).empty());
    }

    void oneReclaimedZoneIsOnlyOrderedAgain()
    {
        zone_fleet taken = zoneOf("a", 1, 0);
        taken.regularOrdered = 1;
        zone_fleet other = zoneOf("b", 1, 46);
        other.regularOrdered = 1;
        other.spotOrdered = 46;
        CPPUNIT_ASSERT(planOf({taken, other, other, other})
                       == (std::vector<fleet_order>{{{"a"}, true, 46}}));
    }

    /// Half of the fleet is gone, and no spot runner is to be had.
    void twoReclaimedZonesBringRegularOnesBack()
    {
        zone_fleet taken = zoneOf("a", 1, 0);
        taken.regularOrdered = 1;
        taken.isSpotDry = true;
        zone_fleet alsoTaken = taken;
        alsoTaken.zone = {"b"};
        CPPUNIT_ASSERT(planOf({taken, alsoTaken, sparedZone("c")})
                       == (std::vector<fleet_order>{{{"a"}, false, 35}, {{"b"}, false, 35}}));
        taken.regularOrdered = alsoTaken.regularOrdered = 35;
        CPPUNIT_ASSERT(planOf({taken, alsoTaken, sparedZone("c")}).empty());
    }

    void spotRunnersThatSaveNothingAreNotOrdered()
    {
        fleet_traits traits = sampleTraits();
        traits.spotPrice = 1;
        CPPUNIT_ASSERT(planFleet(traits, std::vector{zoneOf("a", 35, 0)}).empty());
    }

    void notesSurviveTheStore()
    {
        const fleet_note note{{{"s", {{"a"}, true, 34}}, {"s", {{"b"}, false, 1}}},
                              {{"s", {{"a"}, false, 35}}}};
        CPPUNIT_ASSERT(decodeFleetNote(encode(note)) == note);
        for (const char *text : {"", "{", "[]", "{\"given\":[{}],\"sizes\":[]}"})
            CPPUNIT_ASSERT_MESSAGE(text, !decodeFleetNote(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_plan_test);

} // namespace poplarspool::scaling
