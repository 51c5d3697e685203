#include "updater_fixture.h"

#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::updater_fixture;

constexpr std::uint64_t firstBorn = 5;
constexpr std::uint64_t secondBorn = 6;

runner entryOf(std::uint64_t writes, bool isDraining = false, std::uint64_t born = firstBorn)
{
    runner entry = test::writtenRunner("a", writes);
    entry.isDraining = isDraining;
    entry.startedAtMs = born;
    return entry;
}

void write(updater_fixture &test, const runner &entry)
{
    test.updater.applyChanges({{entry.id, entry}});
}

void remove(updater_fixture &test)
{
    test.updater.applyChanges({{{"a"}, std::nullopt}});
}

/// The ways in which an entry of the store arrives, apart from a fresh start.
const std::vector<std::function<void(updater_fixture &, const runner &)>> ways{
        write, [](updater_fixture &test, const runner &entry) { test.updater.setRunners({entry}); },
        [](updater_fixture &test, const runner &entry) {
            const auto relayed =
                    decodeRunnerChange(valueOf(encode(runner_change{entry.id, entry})));
            test.updater.applyChanges({valueOf(relayed)});
        }};

runner_entry find(const updater_fixture &test)
{
    return test.publisher.current()->runners->find({"a"});
}

/// Time in which a runner writes its entry again: heartbeats are 1.2 s apart.
constexpr milliseconds beatTime = 1200ms;

} // namespace

class late_entry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_entry_test);
    CPPUNIT_TEST(lateWriteDoesNotUndoDraining);
    CPPUNIT_TEST(lateWriteDoesNotUndoARemoval);
    CPPUNIT_TEST(lateBeatOfARemovedRunnerIsNotUsed);
    CPPUNIT_TEST(lateWriteDoesNotUndoOtherFields);
    CPPUNIT_TEST(lateWriteOfAnEndedIncarnationIsNotUsed);
    CPPUNIT_TEST(lateWriteBehindAnEntryOfAnotherWriterIsNotUsed);
    CPPUNIT_TEST(twoLateWritesAreNotUsed);
    CPPUNIT_TEST(lateWriteBeforeAnOutageIsNotUsedAfterIt);
    CPPUNIT_TEST(newIncarnationIsUsedAtOnce);
    CPPUNIT_TEST(returnedRunnerIsUsedOnceItWritesAgain);
    CPPUNIT_TEST(returnedRunnerIsUsedIfItsEntryStays);
    CPPUNIT_TEST(returnLongAfterTheRemovalIsUsedAtOnce);
    CPPUNIT_TEST(runnersThatLapsedInAnOutageAreUsedAtOnce);
    CPPUNIT_TEST(incarnationWithoutBornIsUsedIfItsEntryStays);
    CPPUNIT_TEST(entryOfAnotherWriterIsUsed);
    CPPUNIT_TEST(entryThatIsReadableAgainIsUsed);
    CPPUNIT_TEST(lateWriteIsMarkedForStartingInstances);
    CPPUNIT_TEST(marksOfLateWritesExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests to a leaving runner, which are cut off as it exits.
    void lateWriteDoesNotUndoDraining()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            write(test, entryOf(3));
            write(test, entryOf(9, true));
            arrive(test, entryOf(8));
            CPPUNIT_ASSERT(find(test)->isDraining);
            write(test, entryOf(10, true));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, find(test)->writes);
        }
    }

    void lateWriteDoesNotUndoARemoval()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            write(test, entryOf(9, true));
            remove(test);
            arrive(test, entryOf(8));
            CPPUNIT_ASSERT(!find(test));
            remove(test);
            CPPUNIT_ASSERT(!find(test));
        }
    }

    /// Beats that change nothing are told to nobody, so the number of a late one may be above the
    /// known one.
    void lateBeatOfARemovedRunnerIsNotUsed()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            write(test, entryOf(3));
            remove(test);
            arrive(test, entryOf(8));
            CPPUNIT_ASSERT(!find(test));
        }
    }

    void lateWriteDoesNotUndoOtherFields()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            runner moved = entryOf(9);
            moved.address.port = 81;
            moved.version.text = "2";
            moved.stage = engine_stage::Decode;
            write(test, entryOf(3));
            write(test, moved);
            arrive(test, entryOf(8));
            CPPUNIT_ASSERT(moved == *find(test));
        }
    }

    void lateWriteOfAnEndedIncarnationIsNotUsed()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            write(test, entryOf(9));
            write(test, entryOf(1, true, secondBorn));
            arrive(test, entryOf(10));
            CPPUNIT_ASSERT(find(test)->isDraining);
            remove(test);
            arrive(test, entryOf(11));
            CPPUNIT_ASSERT(!find(test));
        }
    }

    void lateWriteBehindAnEntryOfAnotherWriterIsNotUsed()
    {
        updater_fixture test;
        write(test, entryOf(9));
        write(test, entryOf(0, true, 0));
        write(test, entryOf(8));
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// Guards against a second late write that is taken for a sign of life.
    void twoLateWritesAreNotUsed()
    {
        updater_fixture test;
        write(test, entryOf(9, true));
        write(test, entryOf(7));
        write(test, entryOf(8));
        CPPUNIT_ASSERT(!test.isUsed("a"));
        remove(test);
        write(test, entryOf(7));
        write(test, entryOf(8));
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// Guards against an entry that is trusted since it stays: in an outage no entry expires.
    void lateWriteBeforeAnOutageIsNotUsedAfterIt()
    {
        updater_fixture test;
        write(test, entryOf(9, true));
        write(test, entryOf(8));
        test.simulateOutage(config::outdatedEntryConfirmTime);
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// Guards against a restarted runner that waits for proof.
    void newIncarnationIsUsedAtOnce()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            write(test, entryOf(9, true));
            arrive(test, entryOf(1, false, secondBorn));
            CPPUNIT_ASSERT(test.isUsed("a"));
            remove(test);
            arrive(test, entryOf(1, false, secondBorn + 1));
            CPPUNIT_ASSERT(test.isUsed("a"));
        }
    }

    /// A runner that was cut off from the store for so long that its entry expired.
    void returnedRunnerIsUsedOnceItWritesAgain()
    {
        updater_fixture test;
        write(test, entryOf(3));
        remove(test);
        write(test, entryOf(8));
        CPPUNIT_ASSERT(!test.isUsed("a"));
        test.now += beatTime;
        write(test, entryOf(9));
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    void returnedRunnerIsUsedIfItsEntryStays()
    {
        updater_fixture test;
        write(test, entryOf(3));
        remove(test);
        write(test, entryOf(8));
        test.now += config::outdatedEntryConfirmTime;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    void returnLongAfterTheRemovalIsUsedAtOnce()
    {
        updater_fixture test;
        write(test, entryOf(3));
        remove(test);
        test.now += config::maxLateWriteTime;
        write(test, entryOf(8));
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    /// Guards against a service without runners after an outage of the store.
    void runnersThatLapsedInAnOutageAreUsedAtOnce()
    {
        for (const milliseconds back : {500ms, 2500ms}) {
            updater_fixture test;
            write(test, entryOf(3));
            test.simulateOutage(4s);
            test.updater.setRunners({});
            test.now += back;
            test.updater.applyTimeouts();
            write(test, entryOf(8));
            CPPUNIT_ASSERT(test.isUsed("a"));
        }
    }

    /// Only time tells such a runner from a late write: an entry that nobody renews expires.
    void incarnationWithoutBornIsUsedIfItsEntryStays()
    {
        updater_fixture test;
        write(test, entryOf(9, false, 0));
        write(test, entryOf(1, true, 0));
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.now += config::outdatedEntryConfirmTime;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(!test.isUsed("a"));
        write(test, entryOf(2, false, 0));
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    void entryOfAnotherWriterIsUsed()
    {
        for (const auto &arrive : ways) {
            updater_fixture test;
            write(test, entryOf(9, true));
            arrive(test, entryOf(0));
            CPPUNIT_ASSERT(test.isUsed("a"));
            remove(test);
            arrive(test, entryOf(0));
            CPPUNIT_ASSERT(test.isUsed("a"));
        }
    }

    /// Guards against a runner that waits because another writer has spoilt its entry.
    void entryThatIsReadableAgainIsUsed()
    {
        const auto spoilt =
                decodeRunnerChange(valueOf(encode(runner_change{{"a"}, std::nullopt, true})));
        for (const std::uint64_t writes : {9, 10}) {
            updater_fixture test;
            write(test, entryOf(9));
            test.updater.applyChanges({valueOf(spoilt)});
            CPPUNIT_ASSERT(!find(test));
            write(test, entryOf(writes));
            CPPUNIT_ASSERT(test.isUsed("a"));
            test.updater.setRunners({}, {{"a"}});
            CPPUNIT_ASSERT(!find(test));
            test.updater.setRunners({entryOf(writes)});
            CPPUNIT_ASSERT(test.isUsed("a"));
        }
    }

    /// Guards against an instance that starts while the store has the late write only.
    void lateWriteIsMarkedForStartingInstances()
    {
        for (const bool isGone : {false, true}) {
            updater_fixture other;
            write(other, entryOf(9, true));
            if (isGone)
                remove(other);
            write(other, entryOf(8));
            for (const bool isListedFirst : {false, true}) {
                updater_fixture started;
                if (isListedFirst)
                    started.updater.setRunners({entryOf(8)});
                started.updater.applyOutdatedMarkers(other.updater.outdatedMarkers());
                if (!isListedFirst)
                    started.updater.setRunners({entryOf(8)});
                CPPUNIT_ASSERT(!started.isUsed("a"));
                write(started, entryOf(10));
                CPPUNIT_ASSERT(started.isUsed("a"));
            }
        }
    }

    void marksOfLateWritesExpire()
    {
        updater_fixture test;
        write(test, entryOf(9, true));
        write(test, entryOf(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.updater.outdatedMarkers().size());
        test.now += config::outdatedEntryConfirmTime;
        test.updater.applyTimeouts();
        CPPUNIT_ASSERT(test.updater.outdatedMarkers().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_entry_test);

} // namespace poplarspool::gateway
