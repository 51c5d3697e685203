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
    made.isSizeFinal = true;
    made.regular = regular;
    made.spot = spot;
    return made;
}

/// A zone with all ordered spot runners in service and one regular runner.
zone_fleet replacedZone(const std::string &name)
{
    zone_fleet made = zoneOf(name, 1, 34);
    made.regularOrdered = 1;
    made.spotOrdered = 34;
    return made;
}

/// A zone with enough spare runners to compensate for the loss of one of two zones.
zone_fleet zoneWithSpare(const std::string &name)
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
    CPPUNIT_TEST(regularRunnersAreReplacedAsSpotRunnersServe);
    CPPUNIT_TEST(regularRunnersStayWhileTheFleetRegisters);
    CPPUNIT_TEST(spotRunnersInServiceAreNotOrderedAway);
    CPPUNIT_TEST(runnersInServiceShowTheSize);
    CPPUNIT_TEST(fleetToleratesLossOfOneZone);
    CPPUNIT_TEST(fleetAsPlannedNeedsNoOrders);
    CPPUNIT_TEST(bothKindsTogetherStayBelowMax);
    CPPUNIT_TEST(unavailableKindIsNotOrdered);
    CPPUNIT_TEST(reclaimedZoneIsOrderedAgain);
    CPPUNIT_TEST(regularRunnersReplaceTwoReclaimedZones);
    CPPUNIT_TEST(spotRunnersWithoutSavingsAreNotOrdered);
    CPPUNIT_TEST(checkpointSurvivesEncoding);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against seconds without any runner in service, which would follow if regular runners
    /// were removed before the spot runners that replace them are in service.
    void spotRunnersAreOrderedFirst()
    {
        CPPUNIT_ASSERT(planOf({zoneOf("a", 35, 0)})
                       == (std::vector<fleet_order>{{{"a"}, true, 34}}));
    }

    void regularRunnersAreReplacedAsSpotRunnersServe()
    {
        zone_fleet booting = zoneOf("a", 35, 30);
        booting.spotOrdered = 34;
        CPPUNIT_ASSERT(planOf({booting}) == (std::vector<fleet_order>{{{"a"}, false, 5}}));
        booting.regularOrdered = 5;
        CPPUNIT_ASSERT(planOf({booting}).empty());
        booting.spot = 34;
        CPPUNIT_ASSERT(planOf({booting}) == (std::vector<fleet_order>{{{"a"}, false, 1}}));
    }

    /// Guards against a fleet that is cut down to the runners that have registered so far.
    void regularRunnersStayWhileTheFleetRegisters()
    {
        zone_fleet starting = zoneOf("a", 35, 7);
        starting.size = 7;
        starting.spotOrdered = 7;
        starting.isSizeFinal = false;
        CPPUNIT_ASSERT(planOf({starting}).empty());
        starting.isSizeFinal = true;
        CPPUNIT_ASSERT(planOf({starting}) == (std::vector<fleet_order>{{{"a"}, false, 1}}));
    }

    void spotRunnersInServiceAreNotOrderedAway()
    {
        zone_fleet unknown = zoneOf("a", 1, 34);
        unknown.size = 2;
        CPPUNIT_ASSERT(planOf({unknown}).empty());
    }

    void runnersInServiceShowTheSize()
    {
        for (const std::size_t zones : {1, 2, 3, 4, 7}) {
            const auto orders = planOf(std::vector<zone_fleet>(zones, zoneOf("a", 1, 0)));
            const zone_fleet replaced = zoneOf("a", 1, orders.at(0).wanted);
            CPPUNIT_ASSERT_EQUAL(35U, sizeInService(sampleTraits(), replaced, zones));
            const zone_fleet starting = zoneOf("a", 35, 0);
            CPPUNIT_ASSERT_EQUAL(35U, sizeInService(sampleTraits(), starting, zones));
        }
    }

    /// Guards against too few runners after all spot runners of one zone are reclaimed at once:
    /// each zone gets enough spare runners that the other zones still have the wanted number.
    void fleetToleratesLossOfOneZone()
    {
        const auto orders = planOf(
                {replacedZone("a"), replacedZone("b"), replacedZone("c"), replacedZone("d")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, orders.size());
        CPPUNIT_ASSERT(orders[0] == (fleet_order{{"a"}, true, 46}));
        CPPUNIT_ASSERT(3 * (orders[0].wanted + 1) >= 4 * 35);
    }

    void fleetAsPlannedNeedsNoOrders()
    {
        CPPUNIT_ASSERT(planOf({replacedZone("a")}).empty());
        CPPUNIT_ASSERT(planOf({zoneWithSpare("a"), zoneWithSpare("b")}).empty());
    }

    void bothKindsTogetherStayBelowMax()
    {
        zone_fleet full = zoneOf("a", 60, 0);
        full.size = 60;
        CPPUNIT_ASSERT(planOf({full}) == (std::vector<fleet_order>{{{"a"}, true, 10}}));
    }

    void unavailableKindIsNotOrdered()
    {
        zone_fleet unavailable = zoneOf("a", 35, 0);
        unavailable.isSpotUnavailable = true;
        CPPUNIT_ASSERT(planOf({unavailable}).empty());
    }

    void reclaimedZoneIsOrderedAgain()
    {
        zone_fleet reclaimed = zoneOf("a", 1, 0);
        reclaimed.regularOrdered = 1;
        zone_fleet other = zoneOf("b", 1, 46);
        other.regularOrdered = 1;
        other.spotOrdered = 46;
        CPPUNIT_ASSERT(planOf({reclaimed, other, other, other})
                       == (std::vector<fleet_order>{{{"a"}, true, 46}}));
    }

    /// Two of three zones are reclaimed, and there is no spot capacity to replace them. Without
    /// regular runners too few would be left.
    void regularRunnersReplaceTwoReclaimedZones()
    {
        zone_fleet reclaimed = zoneOf("a", 1, 0);
        reclaimed.regularOrdered = 1;
        reclaimed.isSpotUnavailable = true;
        zone_fleet alsoReclaimed = reclaimed;
        alsoReclaimed.zone = {"b"};
        CPPUNIT_ASSERT(planOf({reclaimed, alsoReclaimed, zoneWithSpare("c")})
                       == (std::vector<fleet_order>{{{"a"}, false, 35}, {{"b"}, false, 35}}));
        reclaimed.regularOrdered = alsoReclaimed.regularOrdered = 35;
        CPPUNIT_ASSERT(planOf({reclaimed, alsoReclaimed, zoneWithSpare("c")}).empty());
    }

    void spotRunnersWithoutSavingsAreNotOrdered()
    {
        fleet_traits traits = sampleTraits();
        traits.spotPrice = 1;
        CPPUNIT_ASSERT(planFleet(traits, std::vector{zoneOf("a", 35, 0)}).empty());
    }

    void checkpointSurvivesEncoding()
    {
        const fleet_checkpoint checkpoint{{{"s", {{"a"}, true, 34}}, {"s", {{"b"}, false, 1}}},
                                          {{"s", {{"a"}, false, 35}}}};
        CPPUNIT_ASSERT(decodeFleetCheckpoint(encode(checkpoint)) == checkpoint);
        for (const char *text : {"", "{", "[]", "{\"given\":[{}],\"sizes\":[]}"})
            CPPUNIT_ASSERT_MESSAGE(text, !decodeFleetCheckpoint(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_plan_test);

} // namespace poplarspool::scaling
