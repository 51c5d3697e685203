#include "adapter/instance_objects.h"
#include "platform/adapter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::completeSettings;
using test::doesMarkOutdated;
using test::fake_store;
using test::follower_fixture;
using test::isUsed;
using test::listInstances;
using test::putRunner;
using test::runnerSpec;
using test::settingsFor;
using test::waitUntil;

/// A clock that stands still, so that nothing times out early on a loaded machine.
clock_source frozenClock()
{
    clock_source clock = systemClock();
    clock.mono = [] { return mono_time(1h); };
    return clock;
}

/// @returns The number of rollbacks that were detected in the list of runners and listed again.
std::size_t rollbackCount(const follower_fixture &one)
{
    const auto isRunnerList = [](const event &each) {
        return each.fields.front().value == wire::runnerKind;
    };
    const auto rollbacks = one.events.events({"store_went_back", {}, {}});
    const auto listed = one.events.events({"runners_listed", {}, {}}).size();
    return std::min<std::size_t>(std::ranges::count_if(rollbacks, isRunnerList), listed - 1);
}

} // namespace

class store_rollback_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_rollback_test);
    CPPUNIT_TEST(leavingRunnerIsNotUsedAfterRollback);
    CPPUNIT_TEST(rollbackWithEqualRevisionIsDetected);
    CPPUNIT_TEST(runnerMissingInTheSnapshotIsKept);
    CPPUNIT_TEST(secondRollbackDuringTheFirstChangesNothing);
    CPPUNIT_TEST(instanceRegistersAgainOnce);
    CPPUNIT_TEST(instanceRegisteredBeforeItsFirstListRegistersAgain);
    CPPUNIT_TEST(epochOfASingleReplyIsDiscarded);
    CPPUNIT_TEST(newInstanceReceivesOutdatedMarkers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers sent to a draining runner and cut off at its end. The store was
    /// restored from a snapshot taken before the runner's entry changed to draining, and assigns
    /// the same revisions again. The snapshot's entry is older than what the instance knows.
    void leavingRunnerIsNotUsedAfterRollback()
    {
        fake_store store;
        putRunner(store, "drains", "in_service", 4);
        putRunner(store, "removed", "in_service", 4);
        putRunner(store, "stays", "in_service", 4);
        const auto snapshot = store.takeSnapshot();
        follower_fixture one(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "drains") && isUsed(one, "removed"); }));
        putRunner(store, "drains", "draining", 5);
        store.remove(wire::runnerKind, "removed");
        CPPUNIT_ASSERT(
                waitUntil([&] { return !isUsed(one, "drains") && !isUsed(one, "removed"); }));
        store.restoreSnapshot(snapshot);
        CPPUNIT_ASSERT(waitUntil([&] { return rollbackCount(one) == 1; }));
        CPPUNIT_ASSERT(isUsed(one, "stays"));
        CPPUNIT_ASSERT(!isUsed(one, "drains") && !isUsed(one, "removed"));
        // The draining entry is written again; the other runner still runs and writes its entry.
        putRunner(store, "drains", "draining", 5);
        putRunner(store, "removed", "in_service", 6);
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "removed"); }));
        CPPUNIT_ASSERT(!isUsed(one, "drains"));
    }

    /// By the time of the next call, the restored store has accepted as many changes as it had
    /// lost. Its revision equals the known one, so the watch continues as if nothing had
    /// happened: a runner that left meanwhile would stay in use for good.
    void rollbackWithEqualRevisionIsDetected()
    {
        fake_store store;
        putRunner(store, "a", "in_service", 4);
        const auto snapshot = store.takeSnapshot();
        putRunner(store, "b", "in_service", 4);
        follower_fixture one(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "a") && isUsed(one, "b"); }));
        auto later = snapshot;
        later.kinds[wire::runnerKind]["a"] = {runnerSpec("draining", 5), ++later.revision, false};
        CPPUNIT_ASSERT_EQUAL(store.takeSnapshot().revision, later.revision);
        store.restoreSnapshot(later);
        CPPUNIT_ASSERT(waitUntil([&] { return !isUsed(one, "a"); }));
    }

    /// A runner registered after the snapshot was taken. It is missing in the snapshot but still
    /// runs: if it were dropped at once, callers would be refused although it has free capacity. It
    /// writes its entry again.
    void runnerMissingInTheSnapshotIsKept()
    {
        fake_store store;
        const auto snapshot = store.takeSnapshot();
        putRunner(store, "a", "in_service", 1);
        follower_fixture one(settingsFor(store), frozenClock());
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "a"); }));
        store.restoreSnapshot(snapshot);
        CPPUNIT_ASSERT(waitUntil([&] { return one.hasLogged("runner_missing"); }));
        CPPUNIT_ASSERT(isUsed(one, "a"));
        putRunner(store, "a", "in_service", 2);
        CPPUNIT_ASSERT(waitUntil([&] {
            const auto entry = one.find("a");
            return entry && entry->writes == 2 && entry->retainedUntil == mono_time::max();
        }));
    }

    /// The store is rolled back twice, the second time before the runner's state is written again.
    /// The first snapshot must not count as a change that the second one confirms.
    void secondRollbackDuringTheFirstChangesNothing()
    {
        fake_store store;
        putRunner(store, "a", "in_service", 4);
        const auto snapshot = store.takeSnapshot();
        follower_fixture one(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "a"); }));
        store.remove(wire::runnerKind, "a");
        CPPUNIT_ASSERT(waitUntil([&] { return !isUsed(one, "a"); }));
        for (std::size_t times = 1; times <= 2; ++times) {
            store.restoreSnapshot(snapshot);
            CPPUNIT_ASSERT(waitUntil([&] { return rollbackCount(one) == times; }));
            CPPUNIT_ASSERT(!isUsed(one, "a"));
        }
    }

    /// The objects of all instances are lost in the rollback, so no instance would find the
    /// others any more. Each one writes its own again, and only once.
    void instanceRegistersAgainOnce()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, test::configSpec(4));
        const auto snapshot = store.takeSnapshot();
        platform_gateway instance(completeSettings(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const auto isListed = [&] { return store.has(wire::instanceKind, "edge-1"); };
        const bool hasRegistered = waitUntil(isListed);
        store.restoreSnapshot(snapshot);
        const bool isRegisteredAgain = waitUntil(isListed);
        const int watchesBefore = store.watches;
        const bool keepsWatching = waitUntil([&] { return store.watches >= watchesBefore + 4; });
        instance.leave();
        CPPUNIT_ASSERT(hasRegistered);
        CPPUNIT_ASSERT(isRegisteredAgain);
        CPPUNIT_ASSERT(keepsWatching);
        CPPUNIT_ASSERT_EQUAL(2, store.writes.load());
    }

    /// One reply has an epoch that never existed. Guards against an instance that then writes its
    /// entry again every 2 s.
    void epochOfASingleReplyIsDiscarded()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, test::configSpec(4));
        platform_gateway instance(completeSettings(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const bool hasRegistered =
                waitUntil([&] { return store.has(wire::instanceKind, "edge-1"); });
        store.sendEpochOnce(900'000);
        const int watchesBefore = store.watches;
        const bool keepsWatching = waitUntil([&] { return store.watches >= watchesBefore + 24; });
        instance.leave();
        CPPUNIT_ASSERT(hasRegistered);
        CPPUNIT_ASSERT(keepsWatching);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(store.writes), store.writes <= 2);
    }

    /// An instance starts and registers; the store is rolled back before the instance has listed
    /// anything, so its first list is already of the snapshot. Only the epoch in which its
    /// object was written shows the rollback. Undetected, the others would never find the instance.
    void instanceRegisteredBeforeItsFirstListRegistersAgain()
    {
        fake_store store;
        const auto snapshot = store.takeSnapshot();
        store.restoreAfterFirstWrite(snapshot);
        platform_gateway instance(completeSettings(store));
        const bool hasStarted = succeeded(instance.start());
        const bool isRegisteredAgain = waitUntil(
                [&] { return store.writes == 2 && store.has(wire::instanceKind, "edge-1"); });
        instance.leave();
        CPPUNIT_ASSERT(hasStarted);
        CPPUNIT_ASSERT(isRegisteredAgain);
    }

    /// Guards against callers sent to a runner that had left, by an instance that started after a
    /// rollback: the snapshot has the runner in service. An instance that knew of its leaving marks
    /// the entry as outdated in its own object, which costs one write. New instances list these
    /// objects anyway.
    void newInstanceReceivesOutdatedMarkers()
    {
        fake_store store;
        putRunner(store, "gone", "in_service", 4);
        putRunner(store, "stays", "in_service", 4);
        const auto snapshot = store.takeSnapshot();
        platform_gateway markingInstance(completeSettings(store));
        CPPUNIT_ASSERT(succeeded(markingInstance.start()));
        const bool hasRegistered = waitUntil(
                [&] { return store.has(wire::instanceKind, "edge-1") && store.watches > 2; });
        store.remove(wire::runnerKind, "gone");
        const int watchesBefore = store.watches;
        const bool hasSeenRemoval = waitUntil([&] { return store.watches >= watchesBefore + 4; });
        store.restoreSnapshot(snapshot);
        const bool isMarked = waitUntil([&] { return doesMarkOutdated(store, "edge-1", "gone"); });
        const int writeCount = store.writes;
        follower_fixture newInstance(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(newInstance.follower.start()));
        newInstance.follower.setInstances(listInstances(newInstance));
        const bool isAvoided = waitUntil(
                [&] { return isUsed(newInstance, "stays") && !isUsed(newInstance, "gone"); });
        markingInstance.leave();
        CPPUNIT_ASSERT(hasRegistered && hasSeenRemoval);
        CPPUNIT_ASSERT(isMarked);
        CPPUNIT_ASSERT(isAvoided);
        CPPUNIT_ASSERT(writeCount <= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_rollback_test);

} // namespace poplarspool::adapter
