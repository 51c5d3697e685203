#include "gateway/runner_table.h"

#include "allocation_meter.h"
#include "catalogue_fixture.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <set>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr engine_traits engine{128, 800'000, 18'432, 350'000};

/// Most of the prompt is shared with other requests.
std::vector<prompt_part> sharedPrompt()
{
    return {{5, 6300}, {7, 7000}, {11, 3700}};
}

placement_query queryOf(std::uint64_t draw)
{
    placement_query query;
    query.service.text = "s";
    query.engine = engine;
    query.promptTokens = 17'000;
    query.sharedTokens = 13'300;
    query.objectiveLeftMs = 800;
    query.draw = draw;
    return query;
}

struct fixture
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    runner_table table;
    catalogue known;

    explicit fixture(std::uint32_t zone = 0) : table(clock, zone)
    {
        for (const char *id : {"a", "b"}) {
            runner made;
            made.id.text = id;
            made.service.text = "s";
            putRunner(known, made);
        }
    }

    placement_candidate candidateFor(const std::string &id,
                                     const std::vector<prompt_part> &prompt = {})
    {
        const engine_traits traits{128, 1000, 1, 1};
        for (placement_candidate &one :
             table.candidatesOf(known, {.service = {"s"}, .engine = &traits, .prompt = prompt})) {
            if (one.target->id.text == id)
                return one;
        }
        return {};
    }

    std::vector<placement_candidate> candidatesFor(std::uint64_t draw, std::uint64_t affinityKey)
    {
        const auto prompt = sharedPrompt();
        return table.candidatesOf(known,
                                  {.service = {"s"},
                                   .engine = &engine,
                                   .prompt = prompt,
                                   .affinityKey = affinityKey,
                                   .draw = draw});
    }

    /// The runner restarts under its id.
    void restart(const std::string &id, std::uint64_t startedAtMs)
    {
        runner next = *known.runners->find({id});
        next.startedAtMs = startedAtMs;
        putRunner(known, next);
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
    CPPUNIT_TEST(lowerRanksReachOtherInstances);
    CPPUNIT_TEST(lowerRanksReachOtherZones);
    CPPUNIT_TEST(updatesWithManyRanksFitIntoDatagrams);
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
    CPPUNIT_TEST(instancesAgreeOnTheEngineOfSharedParts);
    CPPUNIT_TEST(holdersOfSharedPartsAreFoundInLargeFleets);
    CPPUNIT_TEST(decisionsCostNoMoreInLargeFleets);
    CPPUNIT_TEST(digestIsTheSumOfTheZone);
    CPPUNIT_TEST(digestOfMorePartsReplacesTheFormer);
    CPPUNIT_TEST(digestsPassOnCachedParts);
    CPPUNIT_TEST(idleZoneSendsNoDigests);
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

    /// Six instances get requests with the same beginning at the same time and don't know of each
    /// other's. Each looks at a sample of the engines; if the engine that all prefer were not
    /// always in it, the shared part would be prefilled several times.
    void instancesAgreeOnTheEngineOfSharedParts()
    {
        for (const std::size_t fleet : {9U, 3000U}) {
            std::set<std::string> used;
            for (std::uint64_t draw = 0; draw < 40; ++draw) {
                fixture test;
                test.known.runners = std::make_shared<const runner_set>(makeEngines(fleet));
                const auto chosen = choosePlacement(queryOf(draw), test.candidatesFor(draw, 7));
                used.insert(std::get<placement>(chosen).prefill->id.text);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
        }
    }

    /// The engine that has the shared parts in its cache is one of thousands, and not sampled.
    void holdersOfSharedPartsAreFoundInLargeFleets()
    {
        fixture test;
        test.known.runners = std::make_shared<const runner_set>(makeEngines(3000));
        test.table.recordPrefilled({"engine-1234"}, sharedPrompt());
        const auto chosen = choosePlacement(queryOf(1), test.candidatesFor(1, 7));
        CPPUNIT_ASSERT_EQUAL(std::string("engine-1234"),
                             std::get<placement>(chosen).cacheSource->id.text);
    }

    /// If each request looked at all runners of its service, that alone would delay it by tens of
    /// milliseconds on the smallest instances of a fleet of 10,000 runners.
    void decisionsCostNoMoreInLargeFleets()
    {
        const auto bytesOfDecision = [](std::size_t fleet) {
            fixture test;
            test.known.runners = std::make_shared<const runner_set>(makeEngines(fleet));
            test.candidatesFor(1, 7);
            const test::allocation_meter meter;
            const auto candidates = test.candidatesFor(1, 7);
            return meter.bytes();
        };
        const std::size_t few = bytesOfDecision(140);
        for (const std::size_t fleet : {1200U, 10'000U, 20'000U}) {
            const std::size_t many = bytesOfDecision(fleet);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(few) + " and " + std::to_string(many),
                                   many <= few * 13 / 10);
        }
    }

    struct zone_pair
    {
        fixture near{1};
        fixture neighbor{1};
        fixture far{2};

        void exchange()
        {
            near.table.applyUpdate(5,
                                   neighbor.table.collectUpdate(peer::update_recipients::SameZone));
            for (const peer::load_update &part : near.table.collectDigest())
                far.table.applyUpdate(6, part);
        }
    };

    void digestIsTheSumOfTheZone()
    {
        zone_pair zones;
        std::optional<runner_table::open_send> mine;
        mine.emplace(zones.near.table, runner_id{"a"}, 30, send_class::Urgent);
        const runner_table::open_send theirs(zones.neighbor.table, {"a"}, 50, send_class::Late);
        zones.exchange();
        CPPUNIT_ASSERT_EQUAL(2U, zones.far.candidateFor("a").load.open);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, zones.far.candidateFor("a").load.urgentPrefillMs, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, zones.far.candidateFor("a").load.latePrefillMs, 0.1);
        mine.reset();
        zones.exchange();
        CPPUNIT_ASSERT_EQUAL(1U, zones.far.candidateFor("a").load.open);
        // The zone's own digest comes back to it, and what other zones sent is not in it.
        for (const peer::load_update &part : zones.near.table.collectDigest())
            zones.neighbor.table.applyUpdate(5, part);
        CPPUNIT_ASSERT_EQUAL(1U, zones.neighbor.candidateFor("a").load.open);
        const runner_table::open_send farther(zones.far.table, {"a"}, 0, send_class::Urgent);
        for (const peer::load_update &part : zones.far.table.collectDigest())
            zones.near.table.applyUpdate(7, part);
        CPPUNIT_ASSERT_EQUAL(2U, zones.near.candidateFor("a").load.open);
        zones.exchange();
        CPPUNIT_ASSERT_EQUAL(2U, zones.far.candidateFor("a").load.open);
    }

    /// Under load a digest gets more parts. What the former parts said would be counted twice.
    void digestOfMorePartsReplacesTheFormer()
    {
        zone_pair zones;
        const runner_table::open_send first(zones.near.table, {"a"}, 0, send_class::Urgent);
        zones.exchange();
        std::vector<std::unique_ptr<runner_table::open_send>> more;
        more.reserve(200);
        for (int i = 0; i < 200; ++i)
            more.push_back(std::make_unique<runner_table::open_send>(
                    zones.near.table, runner_id{"r" + std::to_string(i)}, 0, send_class::Urgent));
        CPPUNIT_ASSERT(zones.near.table.collectDigest().size() > 4);
        zones.exchange();
        CPPUNIT_ASSERT_EQUAL(1U, zones.far.candidateFor("a").load.open);
    }

    void digestsPassOnCachedParts()
    {
        zone_pair zones;
        zones.exchange();
        zones.neighbor.table.recordPrefilled({"a"}, sharedPrompt());
        zones.exchange();
        CPPUNIT_ASSERT_EQUAL(13'300U, zones.far.candidateFor("a", sharedPrompt()).copyableTokens);
    }

    void idleZoneSendsNoDigests()
    {
        zone_pair zones;
        CPPUNIT_ASSERT(zones.near.table.collectDigest().empty());
        {
            const runner_table::open_send sent(zones.near.table, {"a"}, 0, send_class::Urgent);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zones.near.table.collectDigest().size());
        }
        // The first empty one announces that no requests are left.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zones.near.table.collectDigest().size());
        CPPUNIT_ASSERT(zones.near.table.collectDigest().empty());
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

    /// Guards against ranks that are lost or counted twice between instances, which would make
    /// rank 0 late or lower ranks urgent.
    void lowerRanksReachOtherInstances()
    {
        fixture test;
        fixture other;
        runner_table::open_send mine(test.table, {"a"}, 30, send_class::Urgent, 1);
        const runner_table::open_send first(other.table, {"a"}, 40, send_class::Urgent);
        const runner_table::open_send theirs(other.table, {"a"}, 50, send_class::Urgent, 1);
        const runner_table::open_send last(other.table, {"a"}, 60, send_class::Urgent, 3);
        const runner_table::open_send late(other.table, {"a"}, 70, send_class::Late, 1);
        for (int i = 0; i < 2; ++i)
            test.table.applyUpdate(1, other.table.collectUpdate(peer::update_recipients::SameZone));
        const admission::lower_ranks all{{{2, 80}, {}, {1, 60}}};
        CPPUNIT_ASSERT(test.candidateFor("a").load.lowerRanks == all);
        CPPUNIT_ASSERT_EQUAL(4U, test.candidateFor("a").load.urgentWaiting);
        mine.recordStart();
        const admission::lower_ranks rest{{{1, 50}, {}, {1, 60}}};
        CPPUNIT_ASSERT(test.candidateFor("a").load.lowerRanks == rest);
        test.table.applyUpdate(1, {});
        CPPUNIT_ASSERT(test.candidateFor("a").load.lowerRanks == admission::lower_ranks{});
    }

    /// Guards against a digest that reports lower ranks of other zones as rank 0.
    void lowerRanksReachOtherZones()
    {
        zone_pair zones;
        const runner_table::open_send mine(zones.near.table, {"a"}, 30, send_class::Urgent, 2);
        const runner_table::open_send theirs(zones.neighbor.table, {"a"}, 50, send_class::Urgent,
                                             2);
        zones.exchange();
        const admission::lower_ranks both{{{}, {2, 80}, {}}};
        CPPUNIT_ASSERT(zones.far.candidateFor("a").load.lowerRanks == both);
    }

    /// Guards against load updates that are dropped whole because ranks make them too long.
    void updatesWithManyRanksFitIntoDatagrams()
    {
        fixture test;
        std::vector<std::unique_ptr<runner_table::open_send>> sends;
        for (std::uint32_t i = 0; i < 240; ++i)
            sends.push_back(std::make_unique<runner_table::open_send>(
                    test.table, runner_id{"r" + std::to_string(i / 4)}, 300, send_class::Urgent,
                    i % 4));
        const auto update = test.table.collectUpdate(peer::update_recipients::SameZone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, update.work.size());
        CPPUNIT_ASSERT(valueOf(peer::encode(update)).size() < config::maxDatagramBytes - 78);
        CPPUNIT_ASSERT(update.work.front().lowerRanks != peer::runner_work{}.lowerRanks);
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
        test.table.recordMisdirected(test.known.runners->find({"a"}));
        CPPUNIT_ASSERT(test.candidateFor("a").isMisdirected);
        CPPUNIT_ASSERT(!test.candidateFor("b").isMisdirected);
        // The same entry written again is no change.
        runner again = *test.known.runners->find({"a"});
        ++again.writes;
        putRunner(test.known, again);
        CPPUNIT_ASSERT(test.candidateFor("a").isMisdirected);
        test.restart("a", 2000);
        CPPUNIT_ASSERT(!test.candidateFor("a").isMisdirected);
        test.table.recordMisdirected(test.known.runners->find({"a"}));
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
