#include "updater_fixture.h"

#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

using test::runnerOf;
using test::settleTime;
using test::writtenRunner;
using fixture = test::updater_fixture;

} // namespace

class catalogue_updater_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_updater_test);
    CPPUNIT_TEST(listedRunnersAreStoredUnderTheirIds);
    CPPUNIT_TEST(olderRouteTableIsIgnored);
    CPPUNIT_TEST(publishedTableIsReportedAtOnce);
    CPPUNIT_TEST(runnersExpiredDuringOutageGetGracePeriod);
    CPPUNIT_TEST(expiredRunnersThatReturnStay);
    CPPUNIT_TEST(runnersRemovedAfterRecoveryAreDroppedAtOnce);
    CPPUNIT_TEST(drainingRunnersGetNoGracePeriod);
    CPPUNIT_TEST(gracePeriodIsLimitedAfterPartition);
    CPPUNIT_TEST(snapshotEntryIsAcceptedAfterTimeout);
    CPPUNIT_TEST(newIncarnationInSnapshotIsAccepted);
    CPPUNIT_TEST(gracePeriodIsLimitedAfterRollback);
    CPPUNIT_TEST(endedIncarnationIsNotRestored);
    CPPUNIT_TEST(runnerInGracePeriodIsNotRestoredBySecondRollback);
    CPPUNIT_TEST(newInstanceRejectsEntriesMarkedByOthers);
    CPPUNIT_TEST(markersAreAppliedOnceAndNotToLiveRunners);
    CPPUNIT_TEST(liveRunnersAreNotMarked);
    CPPUNIT_TEST(runnerKeptAtSecondRollbackIsMarkedOnceRemoved);
    CPPUNIT_TEST(runnerThatSaysThatItLeavesIsNotUsed);
    CPPUNIT_TEST(entriesFromBeforeALeaveDoNotEndIt);
    CPPUNIT_TEST(leavingRunnersGetNoGracePeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against runners that are stored under an empty id. After a restart of all instances,
    /// which receive the runners as one list, callers then permanently got 503 "no runner".
    void listedRunnersAreStoredUnderTheirIds()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a"), runnerOf("b")});
        CPPUNIT_ASSERT(test.isUsed("a") && test.isUsed("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.publisher.current()->runners->size());
        test.updater.applyChanges({{{"c"}, runnerOf("c")}});
        CPPUNIT_ASSERT(test.isUsed("c"));
        CPPUNIT_ASSERT(test.publisher.current()->areRunnersKnown);
    }

    void olderRouteTableIsIgnored()
    {
        fixture test;
        route_table table;
        table.version = 7;
        test.updater.setTable(table);
        table.version = 5;
        test.updater.setTable(table);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, test.publisher.current()->table->version);
    }

    /// Guards against limits that come into force only with the first request that is passed on.
    void publishedTableIsReportedAtOnce()
    {
        fixture test;
        route_table table;
        for (const std::uint64_t version : {3, 2, 3, 4}) {
            table.version = version;
            test.updater.setTable(table);
        }
        CPPUNIT_ASSERT(test.published == (std::vector<std::uint64_t>{3, 4}));
    }

    /// During an outage of several seconds the store expires the entries that runners can't renew,
    /// so its first answer lists none. Callers would be refused although all runners are alive.
    void runnersExpiredDuringOutageGetGracePeriod()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a"), runnerOf("b")});
        test.simulateOutage(4s);
        test.updater.setRunners({runnerOf("b")});
        CPPUNIT_ASSERT(test.isUsed("a") && test.isUsed("b"));
        test.now += 2001ms;
        CPPUNIT_ASSERT(!test.isUsed("a")); // Even without a further answer of the store.
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.publisher.current()->runners->size());
    }

    void expiredRunnersThatReturnStay()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a")});
        test.simulateOutage(4s);
        test.updater.applyChanges({{{"a"}, std::nullopt}});
        test.now += 1s;
        test.updater.applyChanges({{{"a"}, runnerOf("a")}});
        test.now += 10s;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    /// A runner exits one second after the store has recovered, and its entry is removed. With a
    /// grace period like that of expired entries, it got requests for over two seconds, and callers
    /// whose request was still running when it exited were cut off.
    void runnersRemovedAfterRecoveryAreDroppedAtOnce()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a")});
        test.simulateOutage(4s);
        test.now += 1200ms;
        test.updater.applyChanges({{{"a"}, std::nullopt}});
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// An instance is partitioned from a healthy store while a runner exits without draining. The
    /// partition ends right after a failed call; the instance notices this 1.4 s later, takes it
    /// for an outage and starts a grace period. Counted from that moment, it kept sending to the
    /// runner for 3.4 s after the end of the partition, and callers were cut off when the runner
    /// exited.
    void gracePeriodIsLimitedAfterPartition()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a")});
        test.simulateOutage(4s, 1400ms);
        test.updater.setRunners({});
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.now += settleTime - 1400ms - 150ms;
        CPPUNIT_ASSERT(!test.isUsed("a"));
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.publisher.current()->runners->isEmpty());
    }

    void drainingRunnersGetNoGracePeriod()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a", true)});
        test.simulateOutage(4s);
        test.updater.setRunners({});
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// A runner's entry expired and was dropped, and the runner registers again just as the store
    /// is rolled back. If its entry were rejected forever, it would never get a request again.
    void snapshotEntryIsAcceptedAfterTimeout()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a"), runnerOf("b")});
        test.updater.applyChanges({{{"a"}, std::nullopt}, {{"b"}, std::nullopt}});
        test.now += 1s;
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners({runnerOf("a"), runnerOf("b")});
        CPPUNIT_ASSERT(!test.isUsed("a") && !test.isUsed("b"));
        test.updater.applyChanges({{{"b"}, std::nullopt}});
        test.now += config::outdatedEntryConfirmTime;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.isUsed("a") && !test.isUsed("b"));
    }

    /// A runner exited, and has restarted under the same id when the snapshot is listed.
    void newIncarnationInSnapshotIsAccepted()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a")});
        test.updater.applyChanges({{{"a"}, std::nullopt}});
        test.updater.recordStoreRollback(test.now);
        runner restarted = runnerOf("a");
        restarted.startedAtMs = 9;
        test.updater.setRunners({restarted});
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    /// The store is briefly unavailable and then rolled back. A runner that exited meanwhile is
    /// missing in the snapshot. It gets a grace period like other runners that the snapshot lacks,
    /// but not longer than updates may be delayed after a failure.
    void gracePeriodIsLimitedAfterRollback()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a")});
        const mono_time lastSeenAt = test.now;
        test.now += 1500ms;
        test.updater.recordStoreRollback(lastSeenAt);
        test.updater.setRunners({});
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.now = lastSeenAt + settleTime - config::gracePeriodMargin;
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// A runner restarted under the same id and then started draining. The snapshot is older and
    /// lists the previous incarnation as in service. If it were taken for a new incarnation, the
    /// runner would get requests until it exits.
    void endedIncarnationIsNotRestored()
    {
        fixture test;
        runner first = runnerOf("a");
        first.startedAtMs = 5;
        runner second = runnerOf("a", true);
        second.startedAtMs = 9;
        for (const bool isGone : {false, true}) {
            test.updater.setRunners({second});
            if (isGone)
                test.updater.applyChanges({{{"a"}, std::nullopt}});
            test.updater.recordStoreRollback(test.now);
            test.updater.setRunners({first});
            const runner_entry known = test.publisher.current()->runners->find({"a"});
            CPPUNIT_ASSERT(!known || known->isDraining);
        }
        // The end of the previous incarnation must not remove the new one either.
        second.isDraining = false;
        first.isDraining = true;
        test.updater.applyChanges({{{"a"}, second}});
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners({first});
        CPPUNIT_ASSERT(test.publisher.current()->runners->find({"a"})->startedAtMs == 9);
    }

    /// Right after a store rollback a runner is removed; since its entry may have expired, it gets
    /// a grace period. Then the store is rolled back again and lists the runner as in service,
    /// because the removal was lost. If that entry were accepted, the runner would be used until it
    /// exits.
    void runnerInGracePeriodIsNotRestoredBySecondRollback()
    {
        fixture test;
        test.updater.setRunners({runnerOf("a")});
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners({runnerOf("a")});
        test.updater.applyChanges({{{"a"}, std::nullopt}});
        test.now += 300ms;
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners({runnerOf("a")});
        test.now += 3s;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// An instance that starts after a store rollback can't know that a runner listed as in service
    /// has exited, and would send callers to it. Other instances know and send markers, which may
    /// arrive before or after the list. The markers also apply to a second rollback.
    void newInstanceRejectsEntriesMarkedByOthers()
    {
        for (const bool isListedFirst : {false, true}) {
            fixture other;
            other.updater.setRunners({writtenRunner("a", 4), writtenRunner("b", 4)});
            other.updater.applyChanges({{{"a"}, std::nullopt}});
            other.updater.recordStoreRollback(other.now);
            const std::vector<runner> snapshot{writtenRunner("a", 4), writtenRunner("b", 4)};
            other.updater.setRunners(snapshot);
            fixture started;
            if (isListedFirst)
                started.updater.setRunners(snapshot);
            started.updater.applyOutdatedMarkers(other.updater.outdatedMarkers());
            if (!isListedFirst)
                started.updater.setRunners(snapshot);
            CPPUNIT_ASSERT(!started.isUsed("a") && started.isUsed("b"));
            started.updater.recordStoreRollback(started.now);
            started.updater.setRunners(snapshot);
            CPPUNIT_ASSERT(!started.isUsed("a") && started.isUsed("b"));
        }
    }

    /// Marked runners that are alive write their entries again, or are still listed after the
    /// timeout. The markers remain in the store; if they were applied again, these runners would be
    /// withdrawn permanently.
    void markersAreAppliedOnceAndNotToLiveRunners()
    {
        fixture test;
        const std::vector<outdated_entry_marker> markers{
                {{"a"}, 0, 4}, {{"b"}, 0, 4}, {{"c"}, 0, 4}};
        test.updater.setRunners(
                {writtenRunner("a", 5), writtenRunner("b", 4), writtenRunner("c", 4)});
        test.updater.applyOutdatedMarkers(markers);
        CPPUNIT_ASSERT(test.isUsed("a") && !test.isUsed("b") && !test.isUsed("c"));
        test.updater.applyChanges({{{"b"}, writtenRunner("b", 6)}});
        CPPUNIT_ASSERT(test.isUsed("b"));
        test.now += config::outdatedEntryConfirmTime;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.isUsed("c"));
        test.updater.applyOutdatedMarkers(markers);
        CPPUNIT_ASSERT(test.isUsed("a") && test.isUsed("b") && test.isUsed("c"));
    }

    /// The lost write of a runner was not a drain: the runner is in use on all instances, and a new
    /// instance must use it as well.
    void liveRunnersAreNotMarked()
    {
        fixture test;
        test.updater.setRunners({writtenRunner("a", 5), writtenRunner("b", 4)});
        test.updater.applyChanges({{{"b"}, runnerOf("b", true)}});
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners({writtenRunner("a", 4), writtenRunner("b", 3)});
        CPPUNIT_ASSERT(test.updater.outdatedMarkers()
                       == (std::vector<outdated_entry_marker>{{{"b"}, 0, 3}}));
        test.now += config::outdatedEntryConfirmTime;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.updater.outdatedMarkers().empty());
    }

    /// A runner is removed right after a store rollback and gets a grace period, since its entry
    /// may have expired. The store is rolled back again and lists the runner as in service; after
    /// the grace period it is not used any more. An instance that started then received no marker
    /// and used it.
    void runnerKeptAtSecondRollbackIsMarkedOnceRemoved()
    {
        fixture test;
        const std::vector<runner> snapshot{writtenRunner("a", 4)};
        test.updater.setRunners(snapshot);
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners(snapshot);
        test.updater.applyChanges({{{"a"}, std::nullopt}});
        test.now += 300ms;
        test.updater.recordStoreRollback(test.now);
        test.updater.setRunners(snapshot);
        CPPUNIT_ASSERT(test.updater.outdatedMarkers().empty());
        test.now += 3s;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(!test.isUsed("a"));
        CPPUNIT_ASSERT(test.updater.outdatedMarkers()
                       == (std::vector<outdated_entry_marker>{{{"a"}, 0, 4}}));
    }

    void runnerThatSaysThatItLeavesIsNotUsed()
    {
        fixture parts;
        parts.updater.setRunners({runnerOf("a"), runnerOf("b")});
        parts.leave("a");
        CPPUNIT_ASSERT(!parts.isUsed("a"));
        CPPUNIT_ASSERT(parts.isUsed("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parts.publisher.current()->runners->servingCount());
    }

    /// Guards against entries that say "in service" and arrive after the runner's own word.
    void entriesFromBeforeALeaveDoNotEndIt()
    {
        fixture parts;
        parts.updater.setRunners({writtenRunner("a", 1)});
        parts.leave("a");
        parts.updater.applyChanges({{{"a"}, writtenRunner("a", 2)}});
        CPPUNIT_ASSERT(!parts.isUsed("a"));
        parts.updater.setRunners({writtenRunner("a", 3)});
        CPPUNIT_ASSERT(!parts.isUsed("a"));
        parts.updater.applyChanges({{{"a"}, std::nullopt}});
        parts.updater.applyChanges({{{"a"}, writtenRunner("a", 4)}});
        CPPUNIT_ASSERT(!parts.isUsed("a"));
    }

    void leavingRunnersGetNoGracePeriod()
    {
        fixture parts;
        parts.updater.setRunners({runnerOf("a"), runnerOf("b")});
        parts.leave("a");
        parts.simulateOutage(5s);
        parts.updater.setRunners({runnerOf("b")});
        CPPUNIT_ASSERT(!parts.publisher.current()->runners->find({"a"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_updater_test);

} // namespace poplarspool::gateway
