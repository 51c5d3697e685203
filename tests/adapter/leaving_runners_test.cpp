#include "adapter/withdrawing_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::nextPrompt;
using test::steady_load;
using test::waitUntil;
using test::withdrawing_fleet;
using test::withdrawing_runner;

constexpr int instanceCount = withdrawing_fleet::instanceCount;
/// Time after which no instance may send requests to a runner that has said that it leaves.
constexpr std::chrono::milliseconds settleTime = 2s;
/// Time for which callers hold a stream; less than their time limit.
constexpr std::chrono::milliseconds heldTime = 1s;
/// Time for which requests go on after that.
constexpr auto checkedTime = 3s;

struct leaving_fleet : withdrawing_fleet
{
    using withdrawing_fleet::withdrawing_fleet;

    /// The first runner leaves while the store is away, under load.
    void assertGetsNothing(const std::function<void()> &afterLeave = {})
    {
        withdrawing_runner &leaving = runners.front();
        const steady_load load(*instances);
        CPPUNIT_ASSERT(waitUntil([&] { return leaving.arrivalCount() > instanceCount; }));
        const auto content = store.takeSnapshot();
        store.startOutage();
        leaving.leave();
        if (afterLeave)
            afterLeave();
        std::this_thread::sleep_for(settleTime + checkedTime);
        store.endOutageWith(content);
        assertNoArrivals(leaving, settleTime + checkedTime);
        CPPUNIT_ASSERT(load.servedCount() > 0);
    }

    static void assertNoArrivals(const withdrawing_runner &leaving, std::chrono::milliseconds to)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("requests at a runner that had said that it leaves",
                                     std::size_t{0}, leaving.arrivalsBetween(settleTime, to));
    }
};

} // namespace

class leaving_runners_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaving_runners_test);
    CPPUNIT_TEST(serviceThatLeavesGetsNoRequests);
    CPPUNIT_TEST(engineThatLeavesGetsNoStreams);
    CPPUNIT_TEST(engineThatLeavesWithinItsStreamsGetsNoOthers);
    CPPUNIT_TEST(prefillEngineThatLeavesGetsNoPrompts);
    CPPUNIT_TEST(runnerThatRefusesAsItLeavesGetsNoRequests);
    CPPUNIT_TEST(entryThatComesBackDoesNotEndALeave);
    CPPUNIT_TEST(allInstancesLearnThatARunnerLeaves);
    CPPUNIT_TEST(nextIncarnationOfARunnerThatLeftGetsRequests);
    CPPUNIT_TEST(requestsAreRefusedIfAllRunnersLeave);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests to a runner that has said in an answer that it leaves.
    void serviceThatLeavesGetsNoRequests()
    {
        leaving_fleet fleet(21000, "idempotent", {"", "", ""});
        fleet.assertGetsNothing();
    }

    void engineThatLeavesGetsNoStreams()
    {
        leaving_fleet fleet(21100, "streaming", {wire::stageDecode, wire::stageDecode});
        fleet.assertGetsNothing();
    }

    /// Guards against reading the word only at the end of a stream.
    void engineThatLeavesWithinItsStreamsGetsNoOthers()
    {
        leaving_fleet fleet(21200, "streaming", {wire::stageDecode, wire::stageDecode});
        for (withdrawing_runner &each : fleet.runners)
            each.holdStreams(true);
        fleet.runners.front().leave();
        std::vector<std::thread> callers;
        for (int i = 0; i < 2 * instanceCount; ++i) {
            callers.emplace_back([&fleet, i] {
                fleet.instances->sendRequest(static_cast<std::size_t>(i) % instanceCount, "x",
                                             nextPrompt());
            });
            std::this_thread::sleep_for(20ms);
        }
        std::this_thread::sleep_for(heldTime);
        const std::size_t before = fleet.runners.front().arrivalCount();
        const std::size_t othersBefore = fleet.runners.back().arrivalCount();
        for (int i = 0; i < 2 * instanceCount; ++i) {
            callers.emplace_back([&fleet, i] {
                fleet.instances->sendRequest(static_cast<std::size_t>(i) % instanceCount, "x",
                                             nextPrompt());
            });
        }
        std::this_thread::sleep_for(heldTime / 2);
        const std::size_t after = fleet.runners.front().arrivalCount();
        const std::size_t othersAfter = fleet.runners.back().arrivalCount();
        for (withdrawing_runner &each : fleet.runners)
            each.holdStreams(false);
        for (std::thread &each : callers)
            each.join();
        CPPUNIT_ASSERT(before > 0);
        CPPUNIT_ASSERT_EQUAL(before, after);
        CPPUNIT_ASSERT_EQUAL(othersBefore + 2 * instanceCount, othersAfter);
    }

    void prefillEngineThatLeavesGetsNoPrompts()
    {
        leaving_fleet fleet(21300, "streaming",
                            {wire::stagePrefill, wire::stagePrefill, wire::stageDecode});
        fleet.assertGetsNothing();
    }

    void runnerThatRefusesAsItLeavesGetsNoRequests()
    {
        leaving_fleet fleet(21400, "idempotent", {"", "", ""});
        fleet.assertGetsNothing([&] { fleet.runners.front().refuse(""); });
    }

    /// Guards against an entry that the store expired and lists again as in service.
    void entryThatComesBackDoesNotEndALeave()
    {
        leaving_fleet fleet(21500, "idempotent", {"", "", ""});
        withdrawing_runner &leaving = fleet.runners.front();
        const steady_load load(*fleet.instances);
        CPPUNIT_ASSERT(waitUntil([&] { return leaving.arrivalCount() > instanceCount; }));
        leaving.leave();
        std::this_thread::sleep_for(300ms);
        leaving.unlist();
        std::this_thread::sleep_for(500ms);
        leaving.list();
        std::this_thread::sleep_for(checkedTime);
        leaving_fleet::assertNoArrivals(leaving, settleTime + checkedTime);
    }

    /// Guards against instances that learn only by requests of their own that a runner leaves.
    void allInstancesLearnThatARunnerLeaves()
    {
        leaving_fleet fleet(21600, "idempotent", {"", "", ""});
        withdrawing_runner &leaving = fleet.runners.front();
        leaving.leave();
        CPPUNIT_ASSERT(waitUntil([&] {
            const std::size_t before = leaving.arrivalCount();
            fleet.instances->sendRequest(0, "x");
            return leaving.arrivalCount() > before;
        }));
        leaving.mark();
        std::this_thread::sleep_for(settleTime);
        {
            const steady_load load(*fleet.instances, 1);
            std::this_thread::sleep_for(checkedTime);
        }
        leaving_fleet::assertNoArrivals(leaving, settleTime + checkedTime);
    }

    void nextIncarnationOfARunnerThatLeftGetsRequests()
    {
        leaving_fleet fleet(21700, "idempotent", {"", ""});
        withdrawing_runner &leaving = fleet.runners.front();
        leaving.leave();
        for (std::size_t i = 0; i < 4 * instanceCount; ++i)
            fleet.instances->sendRequest(i % instanceCount, "x");
        leaving.restart(2000);
        const std::size_t before = leaving.arrivalCount();
        CPPUNIT_ASSERT(waitUntil([&] {
            fleet.instances->sendRequest(0, "x");
            return leaving.arrivalCount() > before;
        }));
    }

    void requestsAreRefusedIfAllRunnersLeave()
    {
        leaving_fleet fleet(21800, "idempotent", {"", ""});
        std::size_t before = 0;
        for (withdrawing_runner &each : fleet.runners)
            each.leave();
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.instances->sendRequest(0, "x") == 503; }));
        for (const withdrawing_runner &each : fleet.runners)
            before += each.arrivalCount();
        CPPUNIT_ASSERT_EQUAL(503, fleet.instances->sendRequest(0, "x"));
        std::size_t after = 0;
        for (const withdrawing_runner &each : fleet.runners)
            after += each.arrivalCount();
        CPPUNIT_ASSERT_EQUAL(before, after);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_runners_test);

} // namespace poplarspool::adapter
