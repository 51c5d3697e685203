#include "gateway/runner_ledger.h"

#include "poplarspool/gateway/limits.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

struct world
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    runner_ledger ledger{clock};
    catalogue known;

    world()
    {
        for (const char *id : {"a", "b"}) {
            runner made;
            made.id.text = id;
            made.service.text = "s";
            known.runners[made.id] = std::make_shared<const runner>(made);
        }
    }

    place_candidate look(const std::string &id, const std::vector<prompt_part> &prompt = {})
    {
        const engine_traits traits{128, 1000, 1, 1};
        for (place_candidate &one : ledger.candidatesOf(known, {"s"}, &traits, prompt, {})) {
            if (one.target->id.text == id)
                return one;
        }
        return {};
    }

    /// The runner starts anew under its id.
    void begin(const std::string &id, std::uint64_t bornMs)
    {
        runner next = *known.runners.at({id});
        next.bornMs = bornMs;
        known.runners[next.id] = std::make_shared<const runner>(next);
        look(id);
    }

    void send(const std::string &id, send_end end)
    {
        runner_ledger::open_send sent(ledger, {id}, 0, send_class::Urgent);
        sent.noteEnd(end);
    }
};

} // namespace

class runner_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(runner_ledger_test);
    CPPUNIT_TEST(failingRunnersAreSetAsideThoughTheySeemHealthy);
    CPPUNIT_TEST(usualFailuresSetNobodyAside);
    CPPUNIT_TEST(unreachableRunnersAreSetAsideForLonger);
    CPPUNIT_TEST(otherInstancesWorkIsAdded);
    CPPUNIT_TEST(whatWaitsIsToldFromWhatRuns);
    CPPUNIT_TEST(paceIsLearntWithinFewPrompts);
    CPPUNIT_TEST(longPromptsMakeNoEngineSeemSlow);
    CPPUNIT_TEST(runningTimesAreLearntFromWholeAnswers);
    CPPUNIT_TEST(aRunnersNewLifeHoldsNothingOfTheOld);
    CPPUNIT_TEST(deniedEntriesAreNotBelievedUntilTheyChange);
    CPPUNIT_TEST(silentInstancesWorkIsForgotten);
    CPPUNIT_TEST(whoTellsRarelyIsRememberedForLonger);
    CPPUNIT_TEST(oldPartsAreTakenForEvicted);
    CPPUNIT_TEST(evictedPartsComeInAnew);
    CPPUNIT_TEST(partsAreCopiedOnlyOnceTheyAreRead);
    CPPUNIT_TEST(allInstancesHearOfPartsAndTokens);
    CPPUNIT_TEST(aSendersNewLifeCountsFromZero);
    CPPUNIT_TEST(newsThatNobodyTakesAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A runner resets half of its requests while its status check is good. Callers lose every
    /// request that may not be repeated, until the outcomes set it aside.
    void failingRunnersAreSetAsideThoughTheySeemHealthy()
    {
        world test;
        for (int i = 0; i < 3; ++i) {
            test.send("a", send_end::Served);
            test.send("a", send_end::Failed);
        }
        CPPUNIT_ASSERT(test.look("a").load.setAsideUntil > test.now);
        CPPUNIT_ASSERT(test.look("b").load.setAsideUntil <= test.now);
    }

    void usualFailuresSetNobodyAside()
    {
        world test;
        for (int i = 0; i < 70; ++i)
            test.send("a", i % 7 == 0 ? send_end::Failed : send_end::Served);
        CPPUNIT_ASSERT(test.look("a").load.setAsideUntil <= test.now);
    }

    void unreachableRunnersAreSetAsideForLonger()
    {
        world test;
        test.send("a", send_end::Unreachable);
        const mono_time first = test.look("a").load.setAsideUntil;
        test.send("a", send_end::Unreachable);
        CPPUNIT_ASSERT(first == test.now + config::setAsideFirst);
        CPPUNIT_ASSERT(test.look("a").load.setAsideUntil == test.now + 2 * config::setAsideFirst);
    }

    void otherInstancesWorkIsAdded()
    {
        world test;
        world other;
        const runner_ledger::open_send mine(test.ledger, {"a"}, 30, send_class::Urgent);
        const runner_ledger::open_send theirs(other.ledger, {"a"}, 50, send_class::Urgent);
        const runner_ledger::open_send late(other.ledger, {"a"}, 70, send_class::Later);
        test.ledger.takeNews(1, other.ledger.collectNews(peer::news_audience::Near));
        test.ledger.takeNews(1, other.ledger.collectNews(peer::news_audience::Near));
        CPPUNIT_ASSERT_EQUAL(3U, test.look("a").load.open);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, test.look("a").load.readingMs, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(70.0, test.look("a").load.laterMs, 0.1);
        test.ledger.takeNews(1, {});
        CPPUNIT_ASSERT_EQUAL(1U, test.look("a").load.open);
    }

    void whatWaitsIsToldFromWhatRuns()
    {
        world test;
        world other;
        runner_ledger::open_send running(test.ledger, {"a"}, 30, send_class::Urgent);
        running.noteStart();
        const runner_ledger::open_send mine(test.ledger, {"a"}, 30, send_class::Later);
        const runner_ledger::open_send theirs(other.ledger, {"a"}, 50, send_class::Urgent);
        test.ledger.takeNews(1, other.ledger.collectNews(peer::news_audience::Near));
        CPPUNIT_ASSERT_EQUAL(3U, test.look("a").load.open);
        CPPUNIT_ASSERT_EQUAL(1U, test.look("a").load.waiting);
        CPPUNIT_ASSERT_EQUAL(1U, test.look("a").load.waitingLater);
        test.ledger.takeNews(1, {});
        CPPUNIT_ASSERT_EQUAL(0U, test.look("a").load.waiting);
    }

    /// Engines read five times as slowly as was believed. Until that is known, five times as much
    /// is sent to them as they can begin in time, and all of it is late.
    void paceIsLearntWithinFewPrompts()
    {
        for (const double truth : {5.0, 0.2}) {
            world test;
            for (int i = 0; i < 170; ++i) {
                const double expectedMs = 1000 * test.look("a").load.pace.scale;
                runner_ledger::open_send sent(test.ledger, {"a"}, expectedMs, send_class::Urgent);
                sent.noteExpected({"s"}, engine_stage::None, expectedMs);
                test.now += std::chrono::milliseconds(
                        std::lround(1000 * truth + test.look("a").load.pace.firstMs));
                sent.noteStart();
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(truth, test.look("b").load.pace.scale, 0.05 * truth);
        }
    }

    /// One engine reads prompts of 500 ms, its sibling such of 20 ms. Taken for slow, it lost its
    /// callers' shared parts to others that had to read them anew.
    void longPromptsMakeNoEngineSeemSlow()
    {
        world test;
        for (int i = 0; i < 5; ++i) {
            for (const auto &[id, took] : {std::pair("a", 500ms), std::pair("b", 20ms)}) {
                runner_ledger::open_send sent(test.ledger, {id}, 100, send_class::Urgent);
                test.now += took;
                sent.noteStart();
                sent.noteEnd(send_end::Served);
            }
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, test.look("a").load.slowness, 1e-9);
    }

    /// A send that was refused at once took no time to run. Counted in, an engine that refuses much
    /// would seem to free its places fastest.
    void runningTimesAreLearntFromWholeAnswers()
    {
        world test;
        for (const send_end end : {send_end::Served, send_end::Refused}) {
            runner_ledger::open_send sent(test.ledger, {"a"}, 0, send_class::Urgent);
            sent.noteRuns();
            if (end == send_end::Served) {
                sent.noteStart();
                test.now += 200ms;
            }
            sent.noteEnd(end);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200.0, test.look("a").load.runMs, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, test.look("b").load.runMs, 0.1);
    }

    /// An engine crashes and starts again under its id within a second. Its cache is empty, yet
    /// prompts went on going there for it, and were read in full behind each other.
    void aRunnersNewLifeHoldsNothingOfTheOld()
    {
        world test;
        const std::vector<prompt_part> prompt{{1, 100}, {2, 50}};
        test.begin("a", 1000);
        test.ledger.noteRead({"a"}, prompt);
        test.send("a", send_end::Unreachable);
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", prompt).cachedTokens);
        CPPUNIT_ASSERT(test.look("a").load.setAsideUntil > test.now);
        test.begin("a", 2000);
        CPPUNIT_ASSERT_EQUAL(0U, test.look("a", prompt).cachedTokens);
        CPPUNIT_ASSERT(test.look("a").load.setAsideUntil <= test.now);
        test.ledger.noteRead({"a"}, prompt);
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", prompt).cachedTokens);
    }

    /// An engine that started again is of another stage than its entry says, and refuses all that
    /// is sent there. Callers' requests spent their sends on it until the entry changed.
    void deniedEntriesAreNotBelievedUntilTheyChange()
    {
        world test;
        test.ledger.noteMisdirected(test.known.runners.at({"a"}));
        CPPUNIT_ASSERT(test.look("a").isMisdirected);
        CPPUNIT_ASSERT(!test.look("b").isMisdirected);
        // The same said once more is no change.
        runner again = *test.known.runners.at({"a"});
        ++again.writes;
        test.known.runners[again.id] = std::make_shared<const runner>(again);
        CPPUNIT_ASSERT(test.look("a").isMisdirected);
        test.begin("a", 2000);
        CPPUNIT_ASSERT(!test.look("a").isMisdirected);
        test.ledger.noteMisdirected(test.known.runners.at({"a"}));
        test.now += config::misdirectedTime;
        CPPUNIT_ASSERT(!test.look("a").isMisdirected);
    }

    /// An instance is killed while it has requests at a runner. It never tells that they ended, and
    /// the runner would count as busy for good.
    void silentInstancesWorkIsForgotten()
    {
        world test;
        test.ledger.takeNews(1, {{{peer::runnerKey({"a"}), 9, 500, 0, 0}}, {}});
        CPPUNIT_ASSERT_EQUAL(9U, test.look("a").load.open);
        test.now += config::loadNewsMemory + 1ms;
        CPPUNIT_ASSERT_EQUAL(0U, test.look("a").load.open);
    }

    /// In a large fleet, instances of other zones tell every 2.5 s. Forgotten after 2 s, their work
    /// would seem to end and to begin anew, and all would send to the runner that seems idle.
    void whoTellsRarelyIsRememberedForLonger()
    {
        world test;
        const peer::load_news told{{{peer::runnerKey({"a"}), 9, 500, 0, 0}}, {}};
        test.ledger.takeNews(1, told);
        test.now += 2500ms;
        test.ledger.takeNews(1, told);
        test.now += 2500ms;
        CPPUNIT_ASSERT_EQUAL(9U, test.look("a").load.open);
        test.now += 2500ms + 1ms;
        CPPUNIT_ASSERT_EQUAL(0U, test.look("a").load.open);
    }

    /// A cache holds what was used last. Believed in for ever, a part is copied from a runner that
    /// has dropped it, and then read after all.
    void oldPartsAreTakenForEvicted()
    {
        world test;
        const std::vector<prompt_part> shared{{11, 100}, {12, 50}};
        test.ledger.noteCached({"a"}, shared);
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", shared).cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, test.look("b", shared).cachedTokens);
        test.ledger.noteCached({"a"}, {{21, 500}});
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", shared).cachedTokens);
        test.ledger.noteCached({"a"}, {{22, 500}});
        CPPUNIT_ASSERT_EQUAL(0U, test.look("a", shared).cachedTokens);
    }

    /// A part is dropped and read again. Not counted as coming in, it would not push out others,
    /// and those would be believed in for too long.
    void evictedPartsComeInAnew()
    {
        world test;
        const std::vector<prompt_part> first{{11, 600}};
        const std::vector<prompt_part> second{{12, 600}};
        for (std::uint64_t round = 0; round < 3; ++round) {
            test.ledger.noteCached({"a"}, first);
            CPPUNIT_ASSERT_EQUAL(600U, test.look("a", first).cachedTokens);
            CPPUNIT_ASSERT_EQUAL(0U, test.look("a", second).cachedTokens);
            test.ledger.noteCached({"a"}, {{20 + round, 400}});
            test.ledger.noteCached({"a"}, second);
            CPPUNIT_ASSERT_EQUAL(0U, test.look("a", first).cachedTokens);
            test.ledger.noteCached({"a"}, {{30 + round, 400}});
        }
    }

    /// A prompt waits at an engine. Another request with the same beginning is placed elsewhere and
    /// told to copy that beginning from there: there is nothing yet, so that it is read twice.
    void partsAreCopiedOnlyOnceTheyAreRead()
    {
        world test;
        world other;
        const std::vector<prompt_part> prompt{{11, 100}, {12, 50}};
        test.ledger.noteCached({"a"}, prompt);
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", prompt).cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, test.look("a", prompt).readTokens);
        other.ledger.takeNews(1, test.ledger.collectNews(peer::news_audience::Far));
        CPPUNIT_ASSERT_EQUAL(100U, other.look("a", prompt).cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, other.look("a", prompt).readTokens);
        test.ledger.noteRead({"a"}, prompt);
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", prompt).readTokens);
        other.ledger.takeNews(1, test.ledger.collectNews(peer::news_audience::Far));
        CPPUNIT_ASSERT_EQUAL(100U, other.look("a", prompt).readTokens);
    }

    /// Instances of the own zone are told several times as often as the others. What was told to
    /// the former must still reach the latter, though the request is over by then: otherwise they
    /// read each shared part anew, or look for it where it has been dropped.
    void allInstancesHearOfPartsAndTokens()
    {
        world test;
        world far;
        const std::vector<prompt_part> prompt{{11, 100}, {12, 50}};
        {
            const runner_ledger::open_send sent(test.ledger, {"a"}, 30, send_class::Urgent);
            test.ledger.noteCached({"a"}, prompt);
        }
        for (int i = 0; i < 5; ++i)
            test.ledger.collectNews(peer::news_audience::Near);
        const peer::load_news told = test.ledger.collectNews(peer::news_audience::Far);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.cached.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.work.size());
        CPPUNIT_ASSERT_EQUAL(150U, told.work[0].tokensIn);
        far.ledger.takeNews(1, told);
        CPPUNIT_ASSERT_EQUAL(100U, far.look("a", prompt).cachedTokens);
        // 850 other tokens push it out of a cache of 900.
        far.ledger.noteCached({"a"}, {{21, 850}});
        CPPUNIT_ASSERT_EQUAL(100U, far.look("a", prompt).cachedTokens);
        far.ledger.noteCached({"a"}, {{22, 51}});
        CPPUNIT_ASSERT_EQUAL(0U, far.look("a", prompt).cachedTokens);
    }

    /// An instance is alone in its zone. News for that zone are never taken: kept for ever, they
    /// fill its memory within days, and it is killed.
    void newsThatNobodyTakesAreDropped()
    {
        world test;
        for (std::uint64_t i = 0; i < 2 * config::maxWaitingNews; ++i)
            test.ledger.noteCached({"a"}, {{1000 + i, 1}, {2, 1}});
        std::size_t told = 0;
        for (std::size_t last = 1; last > 0; told += last)
            last = test.ledger.collectNews(peer::news_audience::Near).cached.size();
        CPPUNIT_ASSERT_EQUAL(config::newsRepeats * config::maxWaitingNews, told);
    }

    void aSendersNewLifeCountsFromZero()
    {
        world test;
        const std::vector<prompt_part> prompt{{11, 100}, {12, 50}};
        test.ledger.takeNews(1, {{{peer::runnerKey({"a"}), 1, 0, 0, 5000}}, {}});
        test.ledger.noteCached({"a"}, prompt);
        test.ledger.takeNews(1, {{{peer::runnerKey({"a"}), 1, 0, 0, 40}}, {}});
        CPPUNIT_ASSERT_EQUAL(150U, test.look("a", prompt).cachedTokens);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_ledger_test);

} // namespace poplarspool::gateway
