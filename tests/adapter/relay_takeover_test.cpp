#include "adapter/simulated_zone.h"
#include "platform/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::simulated_zone;
using test::zone_scenario;

constexpr std::size_t routes = 0;
constexpr std::size_t runners = 1;

/// Instances of one zone of fleets of 985 and of 3,000 instances.
constexpr std::size_t zoneOf985 = 165;
constexpr std::size_t zoneOf3000 = 500;

constexpr staleness_bounds fleetBounds{6s, 5s};
/// Time from a change until all connected instances have applied it.
constexpr milliseconds wantedTime = 3s;

constexpr milliseconds cutAt = 6s;
constexpr milliseconds cutTime = 9s;
constexpr milliseconds startTime = 22s;

/// Environment variable with the number of seeds.
constexpr char seedsVariable[] = "POPLARSPOOL_SEEDS";

std::uint32_t seedCount(std::uint32_t standard)
{
    const char *text = std::getenv(seedsVariable); // NOLINT(concurrency-mt-unsafe): no setenv().
    return text == nullptr ? standard : static_cast<std::uint32_t>(std::atoi(text));
}

/// A third of the instances lose the store without a word while its routes change in quick
/// succession, runners leave in bursts, and forwarders are slow.
zone_scenario cutOf(std::size_t instances, std::uint32_t seed)
{
    zone_scenario scenario;
    scenario.instances = instances;
    scenario.bounds = fleetBounds;
    scenario.seed = seed;
    scenario.cutShare = 0.35;
    scenario.cutAt = cutAt;
    scenario.cutEnd = cutAt + cutTime;
    // Each seed has another phase of the changes to the calls of the relays.
    milliseconds at = cutAt - 1500ms + milliseconds(seed * 37 % 500);
    for (int i = 0; i < 6; ++i, at += 340ms) {
        scenario.changes.push_back({at, routes, 1});
        scenario.changes.push_back({at + 100ms, runners, 40});
    }
    for (const milliseconds later : {1900ms, 2300ms, 2700ms, 4100ms, 6200ms}) {
        scenario.changes.push_back({cutAt + later, routes, 1});
        scenario.changes.push_back({cutAt + later + 150ms, runners, 40});
    }
    return scenario;
}

/// 10,000 runners register within seconds, and routes change afterwards. The zone's instances get
/// their share of the store's link.
zone_scenario startOf(std::size_t instances, std::uint32_t seed)
{
    zone_scenario scenario;
    scenario.instances = instances;
    scenario.bounds = fleetBounds;
    scenario.seed = seed;
    scenario.storeBytesPerSecond = 125e6 / 6;
    scenario.listInterval = 2s;
    for (milliseconds at = 500ms; at < 7500ms; at += 50ms)
        scenario.changes.push_back({at, runners, 72});
    for (milliseconds at = 15s; at < 18s; at += 340ms)
        scenario.changes.push_back({at, routes, 1});
    return scenario;
}

milliseconds latestOf(const simulated_zone &zone)
{
    return std::max(zone.latest(routes), zone.latest(runners));
}

void assertAppliedInTime(std::size_t instances, std::uint32_t seeds)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        simulated_zone zone(cutOf(instances, seed));
        zone.runUntil(cutAt + cutTime);
        const milliseconds latest = latestOf(zone);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": applied after "
                                       + std::to_string(latest.count()) + " ms",
                               latest < wantedTime);
    }
}

} // namespace

class relay_takeover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_takeover_test);
    CPPUNIT_TEST(changesAreAppliedInTimeWhenRelaysLoseTheStore);
    CPPUNIT_TEST(changesAreAppliedInTimeInALargerFleet);
    CPPUNIT_TEST(lossOfRelaysCostsNoCallPerInstance);
    CPPUNIT_TEST(fleetThatStartsDoesNotSaturateTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against routes that are not in force in time: relays whose calls to the store get no
    /// answer are relied on until the bound is almost over.
    void changesAreAppliedInTimeWhenRelaysLoseTheStore()
    {
        assertAppliedInTime(zoneOf985, seedCount(20));
    }

    void changesAreAppliedInTimeInALargerFleet() { assertAppliedInTime(zoneOf3000, seedCount(3)); }

    /// Guards against a zone that asks the store as a whole when its relays lose it.
    void lossOfRelaysCostsNoCallPerInstance()
    {
        std::size_t calls = 0;
        const std::uint32_t seeds = seedCount(10);
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            zone_scenario scenario = cutOf(zoneOf985, seed);
            scenario.changes = {{cutAt + 100ms, routes, 1}};
            simulated_zone zone(scenario);
            zone.runUntil(cutAt);
            const std::size_t before = zone.callCount();
            zone.runUntil(cutAt + cutTime);
            calls += zone.callCount() - before;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls / seeds) + " calls",
                               calls / seeds < zoneOf985 / 2);
    }

    /// Guards against a fleet each of whose instances reads all changes from the store, slower than
    /// they come: the runners register while relays do not know all instances yet.
    void fleetThatStartsDoesNotSaturateTheStore()
    {
        const std::uint32_t seeds = seedCount(3);
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            zone_scenario scenario = startOf(zoneOf985, seed);
            simulated_zone zone(scenario);
            zone.runUntil(startTime);
            const std::string figures = "seed " + std::to_string(seed) + ": "
                    + std::to_string(zone.callCount()) + " calls, latest after "
                    + std::to_string(latestOf(zone).count()) + " ms";
            CPPUNIT_ASSERT_MESSAGE(figures, latestOf(zone) < fleetBounds.afterChange);
            CPPUNIT_ASSERT_MESSAGE(figures, zone.callCount() < 10 * zoneOf985);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_takeover_test);

} // namespace poplarspool::adapter
