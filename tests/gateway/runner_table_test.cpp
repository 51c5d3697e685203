#include "gateway/runner_table.h"

#include "poplarspool/gateway/limits.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

struct fixture
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    runner_table table{clock};
    catalogue known;

    fixture()
    {
        for (const char *id : {"a", "b"}) {
            runner made;
            made.id.text = id;
            made.service.text = "s";
            known.runners[made.id] = std::make_shared<const runner>(made);
        }
    }

    placement_candidate candidateFor(const std::string &id,
                                     const std::vector<prompt_part> &prompt = {})
    {
        const engine_traits traits{128, 1000, 1, 1};
        for (placement_candidate &one : table.candidatesOf(known, {"s"}, &traits, prompt, {})) {
            if (one.target->id.text == id)
                return one;
        }
        return {};
    }

    /// The runner restarts under its id.
    void restart(const std::string &id, std::uint64_t startedAtMs)
    {
        runner next = *known.runners.at({id});
        next.startedAtMs = startedAtMs;
        known.runners[next.id] = std::make_shared<const runner>(next);
        candidateFor(id);
    }

    void send(const std::string &id, send_outcome end)
    {
        runner_table::open_send sent(table, {id}, 0, send_class::Urgent);
        sent.recordEnd(end);
    }
};

} // namespace

class runner_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(runner_table_test);
    CPPUNIT_TEST(failingRunnerIsEjectedDespitePassingHealthChecks);
    CPPUNIT_TEST(usualFailureRateDoesNotEject);
    CPPUNIT_TEST(repeatedlyUnreachableRunnerIsEjectedLonger);
    CPPUNIT_TEST(loadOfOtherInstancesIsAdded);
    CPPUNIT_TEST(waitingRequestsAreCountedApartFromRunning);
    CPPUNIT_TEST(paceConvergesWithin170Prompts);
    CPPUNIT_TEST(longPromptsDoNotMakeEngineSlow);
    CPPUNIT_TEST(runTimeIsLearntFromCompleteAnswersOnly);
    CPPUNIT_TEST(newIncarnationResetsTheRecord);
    CPPUNIT_TEST(deniedEntryIsIgnoredUntilItChanges);
    CPPUNIT_TEST(loadOfSilentInstanceExpires);
    CPPUNIT_TEST(expiryAdaptsToUpdateInterval);
    CPPUNIT_TEST(leastRecentlyUsedPartsCountAsEvicted);
    CPPUNIT_TEST(prefillingEvictedPartCountsAsAdded);
    CPPUNIT_TEST(partsAreCopyableOnlyAfterPrefill);
    CPPUNIT_TEST(updatesReachAllZones);
    CPPUNIT_TEST(newIncarnationOfSenderCountsFromZero);
    CPPUNIT_TEST(uncollectedUpdatesAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A runner resets half of its requests while its health check succeeds. Without ejection by
    /// outcomes, callers would lose every such request that may not be repeated.
    void failingRunnerIsEjectedDespitePassingHealthChecks()
    {
        fixture test;
        for (int i = 0; i < 3; ++i) {
            test.send("a", send_outcome::Served);
            test.send("a", send_outcome::Failed);
        }
        CPPUNIT_ASSERT(test.candidateFor("a").load.ejectedUntil > test.now);
        CPPUNIT_ASSERT(test.candidateFor("b").load.ejectedUntil <= test.now);
    }

    void usualFailureRateDoesNotEject()
    {
        fixture test;
        for (int i = 0; i < 70; ++i)
            test.send("a", i % 7 == 0 ? send_outcome::Failed : send_outcome::Served);
        CPPUNIT_ASSERT(test.candidateFor("a").load.ejectedUntil <= test.now);
    }

    void repeatedlyUnreachableRunnerIsEjectedLonger()
    {
        fixture test;
        test.send("a", send_outcome::Unreachable);
        const mono_time first = test.candidateFor("a").load.ejectedUntil;
        test.send("a", send_outcome::Unreachable);
        CPPUNIT_ASSERT(first == test.now + config::initialEjectionTime);
        CPPUNIT_ASSERT(test.candidateFor("a").load.ejectedUntil
                       == test.now + 2 * config::initialEjectionTime);
    }

    void loadOfOtherInstancesIsAdded()
    {
        fixture test;
        fixture other;
        const runner_table::open_send mine(test.table, {"a"}, 30, send_class::Urgent);
        const runner_table::open_send theirs(other.table, {"a"}, 50, send_class::Urgent);
        const runner_table::open_send late(other.table, {"a"}, 70, send_class::Late);
        test.table.applyUpdate(1, other.table.collectUpdate(peer::update_recipients::SameZone));
        test.table.applyUpdate(1, other.table.collectUpdate(peer::update_recipients::SameZone));
        CPPUNIT_ASSERT_EQUAL(3U, test.candidateFor("a").load.open);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, test.candidateFor("a").load.urgentPrefillMs, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(70.0, test.candidateFor("a").load.latePrefillMs, 0.1);
        test.table.applyUpdate(1, {});
        CPPUNIT_ASSERT_EQUAL(1U, test.candidateFor("a").load.open);
    }

    void waitingRequestsAreCountedApartFromRunning()
    {
        fixture test;
        fixture other;
        runner_table::open_send running(test.table, {"a"}, 30, send_class::Urgent);
        running.recordStart();
        const runner_table::open_send mine(test.table, {"a"}, 30, send_class::Late);
        const runner_table::open_send theirs(other.table, {"a"}, 50, send_class::Urgent);
        test.table.applyUpdate(1, other.table.collectUpdate(peer::update_recipients::SameZone));
        CPPUNIT_ASSERT_EQUAL(3U, test.candidateFor("a").load.open);
        CPPUNIT_ASSERT_EQUAL(1U, test.candidateFor("a").load.urgentWaiting);
        CPPUNIT_ASSERT_EQUAL(1U, test.candidateFor("a").load.lateWaiting);
        test.table.applyUpdate(1, {});
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a").load.urgentWaiting);
    }

    /// Engines prefill five times as slowly as estimated. Until that is learnt, five times as many
    /// requests are sent to them as they can start in time, and all of them are late.
    void paceConvergesWithin170Prompts()
    {
        for (const double truth : {5.0, 0.2}) {
            fixture test;
            for (int i = 0; i < 170; ++i) {
                const double expectedMs = 1000 * test.candidateFor("a").load.pace.scale;
                runner_table::open_send sent(test.table, {"a"}, expectedMs, send_class::Urgent);
                sent.recordExpected({"s"}, engine_stage::None, expectedMs);
                test.now += std::chrono::milliseconds(
                        std::lround(1000 * truth + test.candidateFor("a").load.pace.firstTokenMs));
                sent.recordStart();
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(truth, test.candidateFor("b").load.pace.scale,
                                         0.05 * truth);
        }
    }

    /// One engine prefills prompts of 500 ms, its sibling prompts of 20 ms. If it counted as slow,
    /// its callers' shared parts would move to other engines, which would have to prefill them
    /// again.
    void longPromptsDoNotMakeEngineSlow()
    {
        fixture test;
        for (int i = 0; i < 5; ++i) {
            for (const auto &[id, took] : {std::pair("a", 500ms), std::pair("b", 20ms)}) {
                runner_table::open_send sent(test.table, {id}, 100, send_class::Urgent);
                test.now += took;
                sent.recordStart();
                sent.recordEnd(send_outcome::Served);
            }
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, test.candidateFor("a").load.slowness, 1e-9);
    }

    /// A refused send has no run time. If it were included, an engine that refuses many requests
    /// would seem to free its slots fastest.
    void runTimeIsLearntFromCompleteAnswersOnly()
    {
        fixture test;
        for (const send_outcome end : {send_outcome::Served, send_outcome::Refused}) {
            runner_table::open_send sent(test.table, {"a"}, 0, send_class::Urgent);
            sent.markRunning();
            if (end == send_outcome::Served) {
                sent.recordStart();
                test.now += 200ms;
            }
            sent.recordEnd(end);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200.0, test.candidateFor("a").load.runMs, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, test.candidateFor("b").load.runMs, 0.1);
    }

    /// An engine crashes and restarts under its id within a second. Its cache is empty; if the
    /// record were kept, prompts would still be sent there for it, and prefilled in full one after
    /// another.
    void newIncarnationResetsTheRecord()
    {
        fixture test;
        const std::vector<prompt_part> prompt{{1, 100}, {2, 50}};
        test.restart("a", 1000);
        test.table.recordPrefilled({"a"}, prompt);
        test.send("a", send_outcome::Unreachable);
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", prompt).cachedTokens);
        CPPUNIT_ASSERT(test.candidateFor("a").load.ejectedUntil > test.now);
        test.restart("a", 2000);
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a", prompt).cachedTokens);
        CPPUNIT_ASSERT(test.candidateFor("a").load.ejectedUntil <= test.now);
        test.table.recordPrefilled({"a"}, prompt);
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", prompt).cachedTokens);
    }

    /// A restarted engine has another stage than its entry says, and refuses all requests. If the
    /// entry were still used, callers' requests would use up their sends on it until the entry
    /// changes.
    void deniedEntryIsIgnoredUntilItChanges()
    {
        fixture test;
        test.table.recordMisdirected(test.known.runners.at({"a"}));
        CPPUNIT_ASSERT(test.candidateFor("a").isMisdirected);
        CPPUNIT_ASSERT(!test.candidateFor("b").isMisdirected);
        // The same entry written again is no change.
        runner again = *test.known.runners.at({"a"});
        ++again.writes;
        test.known.runners[again.id] = std::make_shared<const runner>(again);
        CPPUNIT_ASSERT(test.candidateFor("a").isMisdirected);
        test.restart("a", 2000);
        CPPUNIT_ASSERT(!test.candidateFor("a").isMisdirected);
        test.table.recordMisdirected(test.known.runners.at({"a"}));
        test.now += config::misdirectedTime;
        CPPUNIT_ASSERT(!test.candidateFor("a").isMisdirected);
    }

    /// An instance is killed while it has requests at a runner, and never announces their end.
    /// Without expiry, the runner would count as busy for ever.
    void loadOfSilentInstanceExpires()
    {
        fixture test;
        test.table.applyUpdate(1, {{{peer::runnerKey({"a"}), 9, 500, 0, 0}}, {}});
        CPPUNIT_ASSERT_EQUAL(9U, test.candidateFor("a").load.open);
        test.now += config::loadUpdateExpiry + 1ms;
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a").load.open);
    }

    /// In a large fleet, instances of other zones send every 2.5 s. If their load expired after
    /// 2 s, it would seem to end and start again, and all instances would send to the seemingly
    /// idle runner.
    void expiryAdaptsToUpdateInterval()
    {
        fixture test;
        const peer::load_update update{{{peer::runnerKey({"a"}), 9, 500, 0, 0}}, {}};
        test.table.applyUpdate(1, update);
        test.now += 2500ms;
        test.table.applyUpdate(1, update);
        test.now += 2500ms;
        CPPUNIT_ASSERT_EQUAL(9U, test.candidateFor("a").load.open);
        test.now += 2500ms + 1ms;
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a").load.open);
    }

    /// A cache holds the most recently used parts. If a part never counted as evicted, it would be
    /// copied from a runner that has evicted it, and then be prefilled anyway.
    void leastRecentlyUsedPartsCountAsEvicted()
    {
        fixture test;
        const std::vector<prompt_part> shared{{11, 100}, {12, 50}};
        test.table.recordCached({"a"}, shared);
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", shared).cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("b", shared).cachedTokens);
        test.table.recordCached({"a"}, {{21, 500}});
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", shared).cachedTokens);
        test.table.recordCached({"a"}, {{22, 500}});
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a", shared).cachedTokens);
    }

    /// A part is evicted and prefilled again. If it did not count as added, it would not evict
    /// other parts, and those would count as cached for too long.
    void prefillingEvictedPartCountsAsAdded()
    {
        fixture test;
        const std::vector<prompt_part> first{{11, 600}};
        const std::vector<prompt_part> second{{12, 600}};
        for (std::uint64_t round = 0; round < 3; ++round) {
            test.table.recordCached({"a"}, first);
            CPPUNIT_ASSERT_EQUAL(600U, test.candidateFor("a", first).cachedTokens);
            CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a", second).cachedTokens);
            test.table.recordCached({"a"}, {{20 + round, 400}});
            test.table.recordCached({"a"}, second);
            CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a", first).cachedTokens);
            test.table.recordCached({"a"}, {{30 + round, 400}});
        }
    }

    /// A prompt waits at an engine. Another request with the same beginning must not copy it from
    /// there: nothing is there yet, so it would be prefilled twice.
    void partsAreCopyableOnlyAfterPrefill()
    {
        fixture test;
        fixture other;
        const std::vector<prompt_part> prompt{{11, 100}, {12, 50}};
        test.table.recordCached({"a"}, prompt);
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", prompt).cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, test.candidateFor("a", prompt).copyableTokens);
        other.table.applyUpdate(1, test.table.collectUpdate(peer::update_recipients::OtherZones));
        CPPUNIT_ASSERT_EQUAL(100U, other.candidateFor("a", prompt).cachedTokens);
        CPPUNIT_ASSERT_EQUAL(0U, other.candidateFor("a", prompt).copyableTokens);
        test.table.recordPrefilled({"a"}, prompt);
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", prompt).copyableTokens);
        other.table.applyUpdate(1, test.table.collectUpdate(peer::update_recipients::OtherZones));
        CPPUNIT_ASSERT_EQUAL(100U, other.candidateFor("a", prompt).copyableTokens);
    }

    /// Instances of the same zone get updates several times as often as others. An update that was
    /// sent to the former must still reach the latter, although the request has ended by then:
    /// otherwise those would prefill each shared part again, or expect it where it was evicted.
    void updatesReachAllZones()
    {
        fixture test;
        fixture far;
        const std::vector<prompt_part> prompt{{11, 100}, {12, 50}};
        {
            const runner_table::open_send sent(test.table, {"a"}, 30, send_class::Urgent);
            test.table.recordCached({"a"}, prompt);
        }
        for (int i = 0; i < 5; ++i)
            test.table.collectUpdate(peer::update_recipients::SameZone);
        const peer::load_update update =
                test.table.collectUpdate(peer::update_recipients::OtherZones);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.cached.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.work.size());
        CPPUNIT_ASSERT_EQUAL(150U, update.work[0].prefilledTokens);
        far.table.applyUpdate(1, update);
        CPPUNIT_ASSERT_EQUAL(100U, far.candidateFor("a", prompt).cachedTokens);
        // 850 other tokens are not enough to evict it from a cache of 900; 51 more are.
        far.table.recordCached({"a"}, {{21, 850}});
        CPPUNIT_ASSERT_EQUAL(100U, far.candidateFor("a", prompt).cachedTokens);
        far.table.recordCached({"a"}, {{22, 51}});
        CPPUNIT_ASSERT_EQUAL(0U, far.candidateFor("a", prompt).cachedTokens);
    }

    /// An instance is alone in its zone, so updates for that zone are never collected. Without a
    /// bound, they would fill its memory within days, and it would be killed.
    void uncollectedUpdatesAreDropped()
    {
        fixture test;
        for (std::uint64_t i = 0; i < 2 * config::maxPendingUpdates; ++i)
            test.table.recordCached({"a"}, {{1000 + i, 1}, {2, 1}});
        std::size_t sent = 0;
        for (std::size_t last = 1; last > 0; sent += last)
            last = test.table.collectUpdate(peer::update_recipients::SameZone).cached.size();
        CPPUNIT_ASSERT_EQUAL(config::updateRepeats * config::maxPendingUpdates, sent);
    }

    void newIncarnationOfSenderCountsFromZero()
    {
        fixture test;
        const std::vector<prompt_part> prompt{{11, 100}, {12, 50}};
        test.table.applyUpdate(1, {{{peer::runnerKey({"a"}), 1, 0, 0, 5000}}, {}});
        test.table.recordCached({"a"}, prompt);
        test.table.applyUpdate(1, {{{peer::runnerKey({"a"}), 1, 0, 0, 40}}, {}});
        CPPUNIT_ASSERT_EQUAL(150U, test.candidateFor("a", prompt).cachedTokens);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_table_test);

} // namespace poplarspool::gateway
