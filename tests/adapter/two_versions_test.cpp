#include "adapter/gateway_fleet.h"
#include "adapter/stream_caller.h"
#include "adapter/versioned_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <list>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::fake_store;
using test::gateway_fleet;
using test::stream_attempt;
using test::stream_caller;
using test::versioned_runner;

constexpr std::size_t instanceCount = 4;
constexpr int runnersOfEachVersion = 2;
constexpr int streamCount = 40;
constexpr double retryExtra = 1000;
/// Nineteen in twenty.
constexpr int minContinued = 38;

std::string routesSpec()
{
    return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
           R"("pathPrefix":"/p/","kind":"streaming","resumable":true,"service":"s","attempts":3,)"
           R"("timeoutMs":4000,"targetLatencyMs":1000}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

/// Whole instances in two zones, and two runners of each of two versions.
class mixed_fleet
{
public:
    explicit mixed_fleet(std::uint16_t firstPort,
                         const std::vector<std::string> &versions = {"v1", "v2"})
    {
        store.put(wire::configKind, wire::configName, routesSpec());
        for (const std::string &version : versions) {
            for (int i = 0; i < runnersOfEachVersion; ++i)
                add("i-" + version + "-" + std::to_string(i), version);
        }
        instances = std::make_unique<gateway_fleet>(store, instanceCount, firstPort,
                                                    std::vector<std::string>{"a", "b"},
                                                    std::vector<endpoint>{}, retryExtra);
        instances->waitUntilAllServe("x");
        instances->waitUntilAllKnowEachOther();
    }

    versioned_runner &add(const std::string &id, const std::string &version)
    {
        return runners.emplace_back(store, id, version);
    }

    void holdStreams(bool areHeld)
    {
        for (versioned_runner &each : runners)
            each.holdStreams(areHeld);
    }

    void breakNewStreamsAfter(int events)
    {
        for (versioned_runner &each : runners)
            each.breakNewStreamsAfter(events);
    }

    stream_caller call(std::size_t instance, const stream_attempt &attempt) const
    {
        return {instances->callerAddressOf(instance % instanceCount), attempt};
    }

    fake_store store;
    std::list<versioned_runner> runners;
    std::unique_ptr<gateway_fleet> instances;
};

/// How callers' streams went on.
struct stream_counts
{
    int whole = 0;
    int mixed = 0; ///< Streams with events of two versions.
    int refused = 0; ///< Their last take-up was.
};

std::string longId()
{
    return std::string(8000, 'i');
}

void assertContinued(const stream_counts &counts)
{
    const std::string text = std::to_string(counts.mixed) + " of " + std::to_string(streamCount)
            + " streams have events of two versions, " + std::to_string(counts.whole)
            + " are whole";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, counts.mixed);
    CPPUNIT_ASSERT_MESSAGE(text, counts.whole >= minContinued);
}

/// Sends one request after the other, to all instances in turn.
stream_counts callStreams(const mixed_fleet &fleet)
{
    stream_counts counts;
    for (int i = 0; i < streamCount; ++i) {
        stream_caller caller =
                fleet.call(static_cast<std::size_t>(i), {"q-" + std::to_string(i), {}, 0});
        caller.readToEnd();
        counts.whole += caller.isWhole() ? 1 : 0;
        counts.mixed += caller.versions().size() > 1 ? 1 : 0;
    }
    return counts;
}

/// Begins streams at the first instance, and takes them up at the others after each event.
/// @param takeUps Number of times that each stream is taken up, at one instance after the other.
/// @param beforeTakeUps Called when all streams have begun.
stream_counts takeUpStreams(mixed_fleet &fleet, int takeUps,
                            const std::function<void()> &beforeTakeUps = {})
{
    fleet.holdStreams(true);
    std::vector<std::set<std::string>> versions;
    for (int i = 0; i < streamCount; ++i) {
        stream_caller begun = fleet.call(0, {"begin-" + std::to_string(i), {}, 0});
        begun.readEvent(1);
        versions.push_back(begun.versions());
    }
    if (beforeTakeUps)
        beforeTakeUps();
    stream_counts counts;
    for (int i = 0; i < streamCount; ++i) {
        const std::string name = std::to_string(i);
        std::set<std::string> &seen = versions[static_cast<std::size_t>(i)];
        for (int n = 1; n <= takeUps; ++n) {
            const bool isLast = n == takeUps;
            fleet.holdStreams(!isLast);
            stream_caller taken =
                    fleet.call(1 + static_cast<std::size_t>(i + n) % (instanceCount - 1),
                               {"take-" + std::to_string(n) + "-" + name, "begin-" + name, n});
            if (isLast)
                taken.readToEnd();
            else
                taken.readEvent(n + 1);
            seen.merge(taken.versions());
            counts.refused += isLast && taken.status() == 503 ? 1 : 0;
            counts.whole += isLast && taken.isWhole() && taken.status() == 200 ? 1 : 0;
        }
        counts.mixed += seen.size() > 1 ? 1 : 0;
    }
    return counts;
}

} // namespace

class two_versions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(two_versions_test);
    CPPUNIT_TEST(streamThatBreaksOffGoesOnAtItsVersion);
    CPPUNIT_TEST(streamTakenUpElsewhereGoesOnAtItsVersion);
    CPPUNIT_TEST(streamTakenUpThreeTimesGoesOnAtItsVersion);
    CPPUNIT_TEST(streamOfAStoppedInstanceGoesOnAtItsVersion);
    CPPUNIT_TEST(streamOfUnknownOriginIsRefused);
    CPPUNIT_TEST(streamOfAVersionThatIsGoneIsRefusedAtOnce);
    CPPUNIT_TEST(streamGoesOnAtTheOnlyRunnerOfItsVersion);
    CPPUNIT_TEST(streamsOfOneVersionGoOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against answers of which a runner of another software version writes the second part.
    void streamThatBreaksOffGoesOnAtItsVersion()
    {
        mixed_fleet fleet(24100);
        fleet.breakNewStreamsAfter(2);
        assertContinued(callStreams(fleet));
    }

    /// Guards against streams that go on at another software version when callers take them up at
    /// an instance that has not begun them.
    void streamTakenUpElsewhereGoesOnAtItsVersion()
    {
        mixed_fleet fleet(24200);
        assertContinued(takeUpStreams(fleet, 1));
    }

    /// As above; a take-up names the attempt that began the stream, not the one before it.
    void streamTakenUpThreeTimesGoesOnAtItsVersion()
    {
        mixed_fleet fleet(24300);
        assertContinued(takeUpStreams(fleet, 3));
    }

    /// Guards against knowing who began a stream only at the instance that passed it on.
    void streamOfAStoppedInstanceGoesOnAtItsVersion()
    {
        mixed_fleet fleet(24400);
        assertContinued(takeUpStreams(fleet, 1, [&fleet] { fleet.instances->stop(0); }));
    }

    /// Guards against a guess where any of two versions may have begun the stream.
    void streamOfUnknownOriginIsRefused()
    {
        mixed_fleet fleet(24500);
        for (const std::string &named : {std::string("nobody"), std::string(), longId()}) {
            stream_caller taken = fleet.call(1, {"take-" + named, named, 3});
            taken.readHead();
            CPPUNIT_ASSERT_EQUAL(503, taken.status());
            CPPUNIT_ASSERT(taken.text().find("Retry-After: 0.1") != std::string::npos);
        }
        for (const versioned_runner &each : fleet.runners)
            CPPUNIT_ASSERT(each.takenUpCount() == 0);
    }

    /// Guards against callers that wait until their time limit although no runner can go on.
    void streamOfAVersionThatIsGoneIsRefusedAtOnce()
    {
        mixed_fleet fleet(24600);
        const auto counts = takeUpStreams(fleet, 1, [&fleet] {
            for (versioned_runner &each : fleet.runners) {
                if (each.softwareVersion() == "v1")
                    each.list("draining");
            }
            std::this_thread::sleep_for(1s);
        });
        CPPUNIT_ASSERT_EQUAL(0, counts.mixed);
        CPPUNIT_ASSERT(counts.refused > 0);
        CPPUNIT_ASSERT_EQUAL(streamCount, counts.whole + counts.refused);
    }

    /// Guards against streams that break off for good though the runner that began them serves.
    void streamGoesOnAtTheOnlyRunnerOfItsVersion()
    {
        mixed_fleet fleet(24700, {"v1"});
        fleet.add("i-v2-0", "v2");
        CPPUNIT_ASSERT(test::waitUntil([&fleet] {
            stream_caller caller = fleet.call(0, {"wait", {}, 0});
            caller.readToEnd();
            return fleet.runners.back().startedCount() > 0;
        }));
        fleet.breakNewStreamsAfter(2);
        assertContinued(callStreams(fleet));
    }

    /// Guards against refused take-ups where all runners have one version: with a record and
    /// without, and by callers that don't name who began the stream.
    void streamsOfOneVersionGoOn()
    {
        mixed_fleet fleet(24800, {"v1"});
        assertContinued(takeUpStreams(fleet, 2));
        const auto statusOf = [&fleet](const std::string &id, const std::string &named) {
            stream_caller taken = fleet.call(1, {id, named, 3});
            taken.readHead();
            return taken.status();
        };
        CPPUNIT_ASSERT_EQUAL(200, statusOf("t1", ""));
        // The instances have not known the runners for as long as a stream may last.
        CPPUNIT_ASSERT_EQUAL(503, statusOf("t2", "nobody"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(two_versions_test);

} // namespace poplarspool::adapter
