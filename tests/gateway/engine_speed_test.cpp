#include "catalogue_fixture.h"
#include "gateway/runner_table.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr engine_traits traits{128, 800'000, 18'432, 350'000};
constexpr std::uint32_t promptTokens = 3000;
constexpr double objectiveMs = 1000;

std::chrono::nanoseconds timeOf(double ms)
{
    return std::chrono::nanoseconds(std::llround(ms * 1e6));
}

/// Engines that prefill one prompt after another, and instances that choose among them.
class fleet
{
public:
    struct engine
    {
        double speed = 1;
        mono_time busyUntil{};
        mono_time slowUntil{};
    };

    fleet(std::size_t count, std::size_t instances)
    {
        constexpr std::array speeds{0.6, 1.0, 1.6};
        for (std::size_t i = 0; i < count; ++i) {
            runner made;
            made.id.text = std::to_string(i);
            made.service.text = "s";
            made.startedAtMs = 1;
            putRunner(known, made);
            engines.push_back({speeds[i % speeds.size()]});
        }
        for (std::size_t i = 0; i < instances; ++i)
            tables.push_back(std::make_unique<runner_table>(clock, 1, i + 1));
    }

    /// Restarts an engine at another speed.
    void restart(std::size_t index, double speed)
    {
        runner made = *known.runners->find({std::to_string(index)});
        ++made.startedAtMs;
        putRunner(known, made);
        engines[index].speed = speed;
    }

    /// @returns Prompts per second that the engines can prefill.
    double capacity() const
    {
        double sum = 0;
        for (const engine &one : engines)
            sum += 1000 / (prefillTimeMs(engine_stage::None, promptTokens, 0) * one.speed);
        // Two in ten are 2.5 times as slow.
        return disturbs ? sum * (0.8 + 0.2 / 2.5) : sum;
    }

    /// @returns Share of the prompts of the time after `warmUp` that started in time.
    double run(double perSecond, std::chrono::milliseconds warmUp,
               std::chrono::milliseconds measured)
    {
        const mono_time begin = now;
        const mono_time end = begin + warmUp + measured;
        std::exponential_distribution<double> gapMs(perSecond / 1000);
        std::size_t all = 0;
        std::size_t inTime = 0;
        for (mono_time next = now; next < end; next += timeOf(gapMs(random))) {
            advanceTo(next);
            const bool isInTime = send();
            if (next - begin < warmUp)
                continue;
            ++all;
            inTime += isInTime ? 1 : 0;
        }
        return static_cast<double>(inTime) / static_cast<double>(all);
    }

    double factorSeenBy(std::size_t instance, std::size_t index)
    {
        for (const placement_candidate &one : candidatesOf(instance, index)) {
            if (one.target->id.text == std::to_string(index))
                return one.load.speedFactor;
        }
        return 0;
    }

    bool knowsSpeeds = false; ///< The choice gets the true speeds.
    bool disturbs = true; ///< Engines are slowed at random.
    mono_time now{std::chrono::hours(1)};
    std::vector<engine> engines;

private:
    struct sent_prompt
    {
        mono_time startsAt;
        std::shared_ptr<runner_table::open_send> record;

        bool operator<(const sent_prompt &other) const { return startsAt > other.startsAt; }
    };

    std::vector<placement_candidate> candidatesOf(std::size_t instance, std::uint64_t draw)
    {
        return tables[instance]->candidatesOf(
                known, {.service = {"s"}, .engine = &traits, .prompt = {}, .draw = draw});
    }

    void advanceTo(mono_time until)
    {
        while (!open.empty() && open.top().startsAt <= until) {
            const sent_prompt first = open.top();
            open.pop();
            exchangeUntil(first.startsAt);
            now = first.startsAt;
            first.record->recordStart();
        }
        exchangeUntil(until);
        now = until;
    }

    void exchangeUntil(mono_time until)
    {
        for (; exchangeAt <= until; exchangeAt += 100ms) {
            now = exchangeAt;
            slowSome();
            for (std::size_t from = 0; from < tables.size(); ++from) {
                const auto update = tables[from]->collectUpdate(peer::update_recipients::SameZone);
                for (std::size_t to = 0; to < tables.size(); ++to) {
                    if (to != from)
                        tables[to]->applyUpdate(from + 1, update);
                }
            }
        }
    }

    void slowSome()
    {
        if (!disturbs)
            return;
        // Each 100 ms one in 24 of those at full speed: two in ten at a time.
        for (engine &one : engines) {
            if (one.slowUntil <= now && random() % 24 == 0)
                one.slowUntil = now + 600ms;
        }
    }

    bool send()
    {
        const std::size_t instance = random() % tables.size();
        placement_query query;
        query.service.text = "s";
        query.engine = traits;
        query.promptTokens = promptTokens;
        query.objectiveLeftMs = objectiveMs;
        query.now = now;
        query.draw = random();
        auto candidates = candidatesOf(instance, query.draw);
        if (knowsSpeeds) {
            for (placement_candidate &one : candidates)
                one.load.speedFactor = engines[std::stoul(one.target->id.text)].speed;
        }
        const auto chosen = choosePlacement(query, candidates);
        const auto *place = std::get_if<placement>(&chosen);
        if (place == nullptr || place->urgency == send_class::Late)
            return false;
        engine &at = engines[std::stoul(place->serving->id.text)];
        const double slowed = at.slowUntil > now ? 2.5 : 1;
        at.busyUntil = std::max(at.busyUntil, now)
                + timeOf(prefillTimeMs(engine_stage::None, promptTokens, 0) * at.speed * slowed);
        const mono_time startsAt = at.busyUntil + timeOf(config::firstTokenMs);
        auto record = std::make_shared<runner_table::open_send>(
                *tables[instance], place->serving->id, place->prefillWorkMs, place->urgency);
        record->markRunning();
        record->recordExpected({"s"}, engine_stage::None, place->aheadMs + place->prefillMs,
                               place->medianMs);
        open.push({startsAt, std::move(record)});
        return startsAt - now <= timeOf(objectiveMs);
    }

    std::mt19937_64 random{11};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    catalogue known;
    std::vector<std::unique_ptr<runner_table>> tables;
    std::priority_queue<sent_prompt> open;
    mono_time exchangeAt = now;
};

} // namespace

class engine_speed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_speed_test);
    CPPUNIT_TEST(learntSpeedsServeAsWellAsKnownOnes);
    CPPUNIT_TEST(newIncarnationIsLearntAnew);
    CPPUNIT_TEST(uniformFleetIsServedAsBefore);
    CPPUNIT_TEST(samplesAreSentOnceAndInBoundedUpdates);
    CPPUNIT_TEST(samplesOfUnknownRunnersAreIgnored);
    CPPUNIT_TEST(shortPromptsAreNoSamples);
    CPPUNIT_TEST(fastEnginesAreSampledMoreOften);
    CPPUNIT_TEST(workAheadIsScaledOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against engines of unequal speed that are loaded evenly: the slow ones answer late.
    /// Speeds and pace are learnt in the first 20 s.
    void learntSpeedsServeAsWellAsKnownOnes()
    {
        for (const double load : {0.5, 0.8, 0.95}) {
            fleet learning(140, 3);
            fleet knowing(140, 3);
            knowing.knowsSpeeds = true;
            const double perSecond = load * learning.capacity();
            const double learnt = learning.run(perSecond, 20s, 10s);
            const double best = knowing.run(perSecond, 20s, 10s);
            CPPUNIT_ASSERT_MESSAGE("load " + std::to_string(load) + ": " + std::to_string(learnt)
                                           + " of " + std::to_string(best),
                                   learnt >= best - 0.02);
        }
    }

    /// Guards against an engine that keeps the speed of its previous incarnation.
    void newIncarnationIsLearntAnew()
    {
        fleet test(12, 1);
        test.disturbs = false;
        test.run(0.7 * test.capacity(), 0s, 20s);
        CPPUNIT_ASSERT(test.factorSeenBy(0, 0) < 1);
        test.restart(0, 1.6);
        CPPUNIT_ASSERT_EQUAL(1.0, test.factorSeenBy(0, 0));
        test.run(0.7 * test.capacity(), 0s, 20s);
        CPPUNIT_ASSERT(test.factorSeenBy(0, 0) > 1.2);
    }

    /// Guards against noise that changes how a uniform fleet is served.
    void uniformFleetIsServedAsBefore()
    {
        fleet test(24, 3);
        test.disturbs = false;
        for (fleet::engine &one : test.engines)
            one.speed = 1;
        test.run(0.7 * test.capacity(), 0s, 20s);
        for (std::size_t i = 0; i < 24; ++i)
            CPPUNIT_ASSERT_EQUAL(1.0, test.factorSeenBy(0, i));
    }

    /// Guards against samples that count twice, and against updates that the receiver drops.
    void samplesAreSentOnceAndInBoundedUpdates()
    {
        table_fixture test;
        for (int i = 0; i < 20; ++i)
            test.prefill("a", 100, 160);
        CPPUNIT_ASSERT(
                test.table.collectUpdate(peer::update_recipients::OtherZones).samples.empty());
        const auto first = test.table.collectUpdate(peer::update_recipients::SameZone).samples;
        CPPUNIT_ASSERT_EQUAL(config::maxEngineSamples, first.size());
        CPPUNIT_ASSERT((first[0] == peer::engine_sample{peer::runnerKey({"a"}), 160}));
        const auto second = test.table.collectUpdate(peer::update_recipients::SameZone).samples;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, second.size());
        CPPUNIT_ASSERT(test.table.collectUpdate(peer::update_recipients::SameZone).samples.empty());
    }

    /// Guards against records that are kept for whatever keys an update names.
    void samplesOfUnknownRunnersAreIgnored()
    {
        table_fixture test;
        test.table.applyUpdate(2, samplesOf("c", 300));
        CPPUNIT_ASSERT_EQUAL(1.0, test.factorOf("c"));
        // The median of two engines is between them.
        for (const auto &[id, percent] : {std::pair("a", 100), std::pair("b", 300)}) {
            test.prefill(id, 10, 10);
            test.table.applyUpdate(2, samplesOf(id, static_cast<std::uint32_t>(percent)));
        }
        test.now += 1s;
        CPPUNIT_ASSERT(test.factorOf("a") < 0.7);
        CPPUNIT_ASSERT(test.factorOf("b") > 1.4);
        CPPUNIT_ASSERT((test.table.speedCounts() == speed_counts{1, 1}));
        CPPUNIT_ASSERT_EQUAL(1.0, test.factorOf("c"));
    }

    /// Guards against speeds learnt from the fixed cost of each prompt.
    void shortPromptsAreNoSamples()
    {
        table_fixture test;
        for (int i = 0; i < 20; ++i)
            test.prefill("a", config::minPaceSampleMs - 1, 500);
        CPPUNIT_ASSERT(test.table.collectUpdate(peer::update_recipients::SameZone).samples.empty());
    }

    /// Guards against slow engines that get as many requests as fast ones, or none.
    void fastEnginesAreSampledMoreOften()
    {
        std::vector<placement_candidate> all = candidates(32);
        for (std::size_t i = 16; i < 32; ++i)
            all[i].load.speedFactor = 4;
        const auto isSlow = [](const placement &place) {
            return std::stoul(place.serving->id.text) >= 16;
        };
        // All are equally expensive: the slow ones are idle, the fast ones have work.
        for (std::size_t i = 0; i < 16; ++i)
            all[i].load.urgentPrefillMs = 10'000;
        int slow = 0;
        for (std::uint64_t draw = 0; draw < 2000; ++draw)
            slow += isSlow(placementFor(all, draw)) ? 1 : 0;
        // An engine of a quarter of the weight is among the four in 61 % of the draws.
        CPPUNIT_ASSERT(slow > 1000 && slow < 1400);
    }

    /// Guards against a factor that is applied to the same work by the sender and by those behind.
    void workAheadIsScaledOnce()
    {
        std::vector<placement_candidate> all = candidates(1);
        const placement usual = placementFor(all, 1);
        all[0].load.speedFactor = 2;
        const placement slow = placementFor(all, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * usual.prefillMs, slow.prefillMs, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(usual.prefillMs, slow.prefillWorkMs, 1e-6);
        all[0].load.urgentPrefillMs = slow.prefillWorkMs;
        const placement behind = placementFor(all, 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(slow.prefillMs, behind.aheadMs, 1e-6);
        // The prompt ahead is half done on average.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5 * usual.prefillMs, behind.medianMs, 1e-6);
        CPPUNIT_ASSERT_EQUAL(2.0, behind.speedFactor);
    }

private:
    struct table_fixture
    {
        mono_time now{std::chrono::hours(1)};
        clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
        runner_table table{clock, 1, 1};
        catalogue known;

        table_fixture()
        {
            for (const char *id : {"a", "b", "c"}) {
                runner made;
                made.id.text = id;
                made.service.text = "s";
                putRunner(known, made);
            }
        }

        void prefill(const std::string &id, double medianMs, double tookMs)
        {
            runner_table::open_send sent(table, {id}, medianMs, send_class::Urgent);
            // The pace of another stage, so that the time to the first token stays the same.
            sent.recordExpected({"s"}, engine_stage::Prefill, 1000, medianMs);
            now += timeOf(tookMs + config::firstTokenMs);
            sent.recordStart();
        }

        double factorOf(const std::string &id)
        {
            for (const placement_candidate &one :
                 table.candidatesOf(known, {.service = {"s"}, .engine = &traits})) {
                if (one.target->id.text == id)
                    return one.load.speedFactor;
            }
            return 0;
        }
    };

    static peer::load_update samplesOf(const std::string &id, std::uint32_t percent)
    {
        peer::load_update update;
        update.zone = 1;
        update.samples.assign(config::maxEngineSamples, {peer::runnerKey({id}), percent});
        return update;
    }

    static std::vector<placement_candidate> candidates(std::size_t count)
    {
        std::vector<placement_candidate> all(count);
        for (std::size_t i = 0; i < count; ++i) {
            runner made;
            made.id.text = std::to_string(i);
            made.service.text = "s";
            all[i].target = std::make_shared<const runner>(made);
        }
        return all;
    }

    static placement placementFor(const std::vector<placement_candidate> &all, std::uint64_t draw)
    {
        placement_query query;
        query.service.text = "s";
        query.engine = traits;
        query.promptTokens = promptTokens;
        query.objectiveLeftMs = 1e6;
        query.draw = draw;
        const auto chosen = choosePlacement(query, all);
        CPPUNIT_ASSERT(std::holds_alternative<placement>(chosen));
        return std::get<placement>(chosen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_speed_test);

} // namespace poplarspool::gateway
