#include "fixture.h"
#include "poplarspool/policy/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace poplarspool::policy {

using namespace fixture;

class addresses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(addresses_test);
    CPPUNIT_TEST(ordersByStateThenLoadThenZone);
    CPPUNIT_TEST(callersAreSpreadWithinZone);
    CPPUNIT_TEST(truncatedListContainsOtherZones);
    CPPUNIT_TEST(replacedInventoryKeepsRunnerState);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::uint16_t> ports(const view &now, std::uint64_t tieBreak)
    {
        std::vector<std::uint16_t> found;
        for (const endpoint &address : rankAddresses(now, {"a"}, tieBreak))
            found.push_back(address.port);
        return found;
    }

public:
    void ordersByStateThenLoadThenZone()
    {
        view now;
        now.members = makeMembers(8);
        now.members[0].openStreams = 100; // a, overloaded
        now.members[2].state = member_state::Suspect; // a
        now.members[4].state = member_state::Leaving; // a
        now.members[3].state = member_state::Dead; // b
        now.members[7].callerAddress = {}; // b, not received yet
        for (std::uint64_t tieBreak = 0; tieBreak < 20; ++tieBreak) {
            const auto ranked = ports(now, tieBreak);
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, ranked.size());
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{8006}, ranked[0]);
            CPPUNIT_ASSERT_EQUAL(8001 + 8005, ranked[1] + ranked[2]);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{8000}, ranked[3]);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{8002}, ranked[4]);
        }
    }

    void callersAreSpreadWithinZone()
    {
        view now;
        now.members = makeMembers(8);
        std::set<std::uint16_t> first;
        for (std::uint64_t tieBreak = 0; tieBreak < 50; ++tieBreak)
            first.insert(ports(now, tieBreak).front());
        CPPUNIT_ASSERT(first == std::set<std::uint16_t>({8000, 8002, 8004, 8006}));
    }

    /// Guards against callers that can't reach any instance after their zone has failed, because
    /// the address list they keep contains instances of that zone only.
    void truncatedListContainsOtherZones()
    {
        view now;
        now.members = makeMembers(100);
        const auto ranked = ports(now, 1);
        CPPUNIT_ASSERT_EQUAL(config::maxRankedAddresses, ranked.size());
        const auto elsewhere = std::count_if(ranked.begin(), ranked.end(),
                                             [](std::uint16_t port) { return port % 2 == 1; });
        CPPUNIT_ASSERT_EQUAL(config::minOtherZoneAddresses, std::size_t(elsewhere));
        CPPUNIT_ASSERT_EQUAL(1, ranked.back() % 2);
    }

    void replacedInventoryKeepsRunnerState()
    {
        view now = makeView(makeFleet(3));
        setStreams(now.runners[1], 7);
        setStreams(now.runners[2], 9);
        const auto next = makeFleet(3);
        next->runners.erase(next->runners.begin());
        next->runners[1].address.port = 1;
        replaceFleet(now, next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, now.runners.size());
        CPPUNIT_ASSERT_EQUAL(7u, now.runners[0].report.running);
        CPPUNIT_ASSERT(now.runners[1] == runner_state{});
        CPPUNIT_ASSERT(now.index->fleet == now.fleet);
        CPPUNIT_ASSERT_EQUAL(2u, findRunner(*now.fleet, {"s1"}).index);
        CPPUNIT_ASSERT(!findRunner(*now.fleet, {"e10"}).isValid());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(addresses_test);

} // namespace poplarspool::policy
