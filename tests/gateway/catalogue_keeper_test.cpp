#include "poplarspool/gateway/catalogue_keeper.h"
#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds settleTime = 3s;

runner runnerOf(const std::string &id, bool isDraining = false)
{
    runner made;
    made.id.text = id;
    made.service.text = "s";
    made.address = {"127.0.0.1", 80};
    made.isDraining = isDraining;
    return made;
}

runner writtenRunner(const std::string &id, std::uint64_t writes)
{
    runner made = runnerOf(id);
    made.writes = writes;
    return made;
}

struct world
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, clock, 16};
    catalogue_hub hub{catalogue{}};
    catalogue_keeper keeper{hub, settleTime, clock, events};

    /// The store fails for a while and then answers again.
    /// @param noticedAfter From the last call that failed to the answer.
    void loseStoreFor(milliseconds time, milliseconds noticedAfter = 100ms)
    {
        keeper.noteStoreLost(now);
        now += time - noticedAfter;
        keeper.noteStoreLost(now);
        now += noticedAfter;
        keeper.noteStoreAnswer();
    }

    /// @returns Whether requests are sent to it.
    bool isUsed(const std::string &id) const
    {
        const auto known = hub.current();
        const auto found = known->runners.find({id});
        return found != known->runners.end() && found->second->keptUntil > now;
    }
};

} // namespace

class catalogue_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_keeper_test);
    CPPUNIT_TEST(listedRunnersAreKnownByTheirIds);
    CPPUNIT_TEST(olderRoutesNeverComeBack);
    CPPUNIT_TEST(runnersThatLapsedWithTheStoreAreKeptForAWhile);
    CPPUNIT_TEST(lapsedRunnersThatReturnStay);
    CPPUNIT_TEST(runnersThatLeaveAfterTheStoresReturnAreDroppedAtOnce);
    CPPUNIT_TEST(drainingRunnersAreNotForgiven);
    CPPUNIT_TEST(whatLeftDuringACutIsNotForgivenForLonger);
    CPPUNIT_TEST(anEntryOfACopyThatStaysIsBelieved);
    CPPUNIT_TEST(aNewLifeInACopyIsBelieved);
    CPPUNIT_TEST(whatACopyLacksIsNotKeptForLonger);
    CPPUNIT_TEST(aLifeThatIsOverIsNotBroughtBack);
    CPPUNIT_TEST(whatIsMissingIsNotBroughtBackByASecondCopy);
    CPPUNIT_TEST(whoStartsAfterACopyLeavesAloneWhatOthersDoubt);
    CPPUNIT_TEST(marksCountOnceAndNotForLivingRunners);
    CPPUNIT_TEST(livingRunnersAreNotMarked);
    CPPUNIT_TEST(whatIsKeptAtASecondCopyIsMarkedOnceItIsGone);
    CPPUNIT_TEST_SUITE_END();

public:
    /// All instances are killed and start again. They list the runners in one answer, and callers
    /// got 503 "no runner" for good, because every runner was entered under an empty id.
    void listedRunnersAreKnownByTheirIds()
    {
        world test;
        test.keeper.setRunners({runnerOf("a"), runnerOf("b")});
        CPPUNIT_ASSERT(test.isUsed("a") && test.isUsed("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.hub.current()->runners.size());
        test.keeper.takeChanges({{{"c"}, runnerOf("c")}});
        CPPUNIT_ASSERT(test.isUsed("c"));
        CPPUNIT_ASSERT(test.hub.current()->areRunnersKnown);
    }

    void olderRoutesNeverComeBack()
    {
        world test;
        route_table table;
        table.version = 7;
        test.keeper.setTable(table);
        table.version = 5;
        test.keeper.setTable(table);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, test.hub.current()->table->version);
    }

    /// The store is down for seconds. Runners can't renew their entries and the store drops them,
    /// so that its first answer lists nobody. Callers would be refused although all runners live.
    void runnersThatLapsedWithTheStoreAreKeptForAWhile()
    {
        world test;
        test.keeper.setRunners({runnerOf("a"), runnerOf("b")});
        test.loseStoreFor(4s);
        test.keeper.setRunners({runnerOf("b")});
        CPPUNIT_ASSERT(test.isUsed("a") && test.isUsed("b"));
        test.now += 2001ms;
        CPPUNIT_ASSERT(!test.isUsed("a")); // Also where no further answer comes.
        test.keeper.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.hub.current()->runners.size());
    }

    void lapsedRunnersThatReturnStay()
    {
        world test;
        test.keeper.setRunners({runnerOf("a")});
        test.loseStoreFor(4s);
        test.keeper.takeChanges({{{"a"}, std::nullopt}});
        test.now += 1s;
        test.keeper.takeChanges({{{"a"}, runnerOf("a")}});
        test.now += 10s;
        test.keeper.settle();
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    /// The store was away, and a second after its return a runner leaves and its entry is removed.
    /// Forgiven like a lapsed one, it got requests for over two seconds, and callers whose request
    /// outlasted its end were cut off.
    void runnersThatLeaveAfterTheStoresReturnAreDroppedAtOnce()
    {
        world test;
        test.keeper.setRunners({runnerOf("a")});
        test.loseStoreFor(4s);
        test.now += 1200ms;
        test.keeper.takeChanges({{{"a"}, std::nullopt}});
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// An instance is cut off from a store that is sound, and a runner leaves meanwhile without a
    /// word. The cut ends right after a call was sent in vain; the instance notices 1.4 s later,
    /// takes the cut for an outage and forgives. Counted from then, it sent there for 3.4 s after
    /// the end of the cut, and callers were cut off when the runner ended.
    void whatLeftDuringACutIsNotForgivenForLonger()
    {
        world test;
        test.keeper.setRunners({runnerOf("a")});
        test.loseStoreFor(4s, 1400ms);
        test.keeper.setRunners({});
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.now += settleTime - 1400ms - 150ms;
        CPPUNIT_ASSERT(!test.isUsed("a"));
        test.keeper.settle();
        CPPUNIT_ASSERT(test.hub.current()->runners.empty());
    }

    void drainingRunnersAreNotForgiven()
    {
        world test;
        test.keeper.setRunners({runnerOf("a", true)});
        test.loseStoreFor(4s);
        test.keeper.setRunners({});
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// A runner lapsed, was dropped, and is back in the store just as that comes back from an older
    /// copy. Held for gone for good, it would never get a request again.
    void anEntryOfACopyThatStaysIsBelieved()
    {
        world test;
        test.keeper.setRunners({runnerOf("a"), runnerOf("b")});
        test.keeper.takeChanges({{{"a"}, std::nullopt}, {{"b"}, std::nullopt}});
        test.now += 1s;
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners({runnerOf("a"), runnerOf("b")});
        CPPUNIT_ASSERT(!test.isUsed("a") && !test.isUsed("b"));
        test.keeper.takeChanges({{{"b"}, std::nullopt}});
        test.now += config::copyDoubtTime;
        test.keeper.settle();
        CPPUNIT_ASSERT(test.isUsed("a") && !test.isUsed("b"));
    }

    /// A runner left, and has started again under its id by the time the store's copy is listed.
    void aNewLifeInACopyIsBelieved()
    {
        world test;
        test.keeper.setRunners({runnerOf("a")});
        test.keeper.takeChanges({{{"a"}, std::nullopt}});
        test.keeper.noteOlderCopy(test.now);
        runner reborn = runnerOf("a");
        reborn.bornMs = 9;
        test.keeper.setRunners({reborn});
        CPPUNIT_ASSERT(test.isUsed("a"));
    }

    /// The store is away for a moment and comes back from an older copy; a runner left in that
    /// moment, and the copy has it no more. It is kept like one that the copy lacks, but not for
    /// longer than news may be late after a trouble.
    void whatACopyLacksIsNotKeptForLonger()
    {
        world test;
        test.keeper.setRunners({runnerOf("a")});
        const mono_time lastSeenAt = test.now;
        test.now += 1500ms;
        test.keeper.noteOlderCopy(lastSeenAt);
        test.keeper.setRunners({});
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.now = lastSeenAt + settleTime - config::forgivenMargin;
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// A runner started again under its id and said then that it leaves. The store's copy is from
    /// before: it shows the life that is over, in service. Taken for a new life, it would get
    /// requests until it ends.
    void aLifeThatIsOverIsNotBroughtBack()
    {
        world test;
        runner first = runnerOf("a");
        first.bornMs = 5;
        runner second = runnerOf("a", true);
        second.bornMs = 9;
        for (const bool isGone : {false, true}) {
            test.keeper.setRunners({second});
            if (isGone)
                test.keeper.takeChanges({{{"a"}, std::nullopt}});
            test.keeper.noteOlderCopy(test.now);
            test.keeper.setRunners({first});
            const auto known = test.hub.current()->runners;
            CPPUNIT_ASSERT(!known.contains({"a"}) || known.at({"a"})->isDraining);
        }
        // Nor does the end of that life take away the new one.
        second.isDraining = false;
        first.isDraining = true;
        test.keeper.takeChanges({{{"a"}, second}});
        CPPUNIT_ASSERT(test.isUsed("a"));
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners({first});
        CPPUNIT_ASSERT(test.hub.current()->runners.at({"a"})->bornMs == 9);
    }

    /// The store has come back from an older copy, and right after it a runner is removed: it may
    /// have lapsed, and is kept for a while. Then the store goes back again, and shows it in
    /// service. That says nothing of the removal, which was lost: believed, the runner would be
    /// used until it ends.
    void whatIsMissingIsNotBroughtBackByASecondCopy()
    {
        world test;
        test.keeper.setRunners({runnerOf("a")});
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners({runnerOf("a")});
        test.keeper.takeChanges({{{"a"}, std::nullopt}});
        test.now += 300ms;
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners({runnerOf("a")});
        test.now += 3s;
        test.keeper.settle();
        CPPUNIT_ASSERT(!test.isUsed("a"));
    }

    /// Callers are sent to a runner that has left. The store came back from an older copy that has
    /// it in service, and an instance started after that: it has never known anything else. Others
    /// know. Their marks may be here before the list or after it, and go before a second copy.
    void whoStartsAfterACopyLeavesAloneWhatOthersDoubt()
    {
        for (const bool isListedFirst : {false, true}) {
            world other;
            other.keeper.setRunners({writtenRunner("a", 4), writtenRunner("b", 4)});
            other.keeper.takeChanges({{{"a"}, std::nullopt}});
            other.keeper.noteOlderCopy(other.now);
            const std::vector<runner> copy{writtenRunner("a", 4), writtenRunner("b", 4)};
            other.keeper.setRunners(copy);
            world started;
            if (isListedFirst)
                started.keeper.setRunners(copy);
            started.keeper.doubt(other.keeper.copyMarks());
            if (!isListedFirst)
                started.keeper.setRunners(copy);
            CPPUNIT_ASSERT(!started.isUsed("a") && started.isUsed("b"));
            started.keeper.noteOlderCopy(started.now);
            started.keeper.setRunners(copy);
            CPPUNIT_ASSERT(!started.isUsed("a") && started.isUsed("b"));
        }
    }

    /// Runners that live after all write their entries, or still stand when the doubt is over. The
    /// marks stay in the store; taken again, they would withdraw those runners for good.
    void marksCountOnceAndNotForLivingRunners()
    {
        world test;
        const std::vector<entry_mark> marks{{{"a"}, 0, 4}, {{"b"}, 0, 4}, {{"c"}, 0, 4}};
        test.keeper.setRunners(
                {writtenRunner("a", 5), writtenRunner("b", 4), writtenRunner("c", 4)});
        test.keeper.doubt(marks);
        CPPUNIT_ASSERT(test.isUsed("a") && !test.isUsed("b") && !test.isUsed("c"));
        test.keeper.takeChanges({{{"b"}, writtenRunner("b", 6)}});
        CPPUNIT_ASSERT(test.isUsed("b"));
        test.now += config::copyDoubtTime;
        test.keeper.settle();
        CPPUNIT_ASSERT(test.isUsed("c"));
        test.keeper.doubt(marks);
        CPPUNIT_ASSERT(test.isUsed("a") && test.isUsed("b") && test.isUsed("c"));
    }

    /// A runner wrote something else in the lost time than that it leaves. It is in use everywhere;
    /// an instance that starts must not do without it.
    void livingRunnersAreNotMarked()
    {
        world test;
        test.keeper.setRunners({writtenRunner("a", 5), writtenRunner("b", 4)});
        test.keeper.takeChanges({{{"b"}, runnerOf("b", true)}});
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners({writtenRunner("a", 4), writtenRunner("b", 3)});
        CPPUNIT_ASSERT(test.keeper.copyMarks() == (std::vector<entry_mark>{{{"b"}, 0, 3}}));
        test.now += config::copyDoubtTime;
        test.keeper.settle();
        CPPUNIT_ASSERT(test.keeper.copyMarks().empty());
    }

    /// A runner is removed right after the store has come back, and is kept as one that may have
    /// lapsed. The store goes back again and shows it in service; after its time it is left alone.
    /// An instance that starts then was never told, and used it.
    void whatIsKeptAtASecondCopyIsMarkedOnceItIsGone()
    {
        world test;
        const std::vector<runner> copy{writtenRunner("a", 4)};
        test.keeper.setRunners(copy);
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners(copy);
        test.keeper.takeChanges({{{"a"}, std::nullopt}});
        test.now += 300ms;
        test.keeper.noteOlderCopy(test.now);
        test.keeper.setRunners(copy);
        CPPUNIT_ASSERT(test.keeper.copyMarks().empty());
        test.now += 3s;
        test.keeper.settle();
        CPPUNIT_ASSERT(!test.isUsed("a"));
        CPPUNIT_ASSERT(test.keeper.copyMarks() == (std::vector<entry_mark>{{{"a"}, 0, 4}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_keeper_test);

} // namespace poplarspool::gateway
