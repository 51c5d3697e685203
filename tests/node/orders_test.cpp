#include "order_fakes.h"
#include "poplarspool/node/limits.h"
#include "poplarspool/policy/limits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;
using namespace poplarspool::node;
using namespace poplarspool::node::order_fakes;
using policy::engine_role;

namespace {

constexpr int maxIterations = 40;

} // namespace

class orders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_test);
    CPPUNIT_TEST(recordSurvivesSerialization);
    CPPUNIT_TEST(poolHasOneAlivePlanner);
    CPPUNIT_TEST(changeGoesThroughAllPhases);
    CPPUNIT_TEST(nextOrderHasHigherFence);
    CPPUNIT_TEST(unacknowledgedReservationBlocksChange);
    CPPUNIT_TEST(busyEngineBlocksChange);
    CPPUNIT_TEST(throttledWeightStoreBlocksChange);
    CPPUNIT_TEST(crashedEngineReceivesSameOrderAgain);
    CPPUNIT_TEST(successorFinishesOpenOrder);
    CPPUNIT_TEST(successorWaitsForEngineThatIgnoresFences);
    CPPUNIT_TEST(unansweredSendDelaysSettling);
    CPPUNIT_TEST(unansweredSendDelaysSettlingWithFenceChecks);
    CPPUNIT_TEST(lostAnswerToOpenKeepsSendWindow);
    CPPUNIT_TEST(conflictingWriterSendsOnlyWinningOrder);
    CPPUNIT_TEST(slowStoreWriteGivesNoSendWindow);
    CPPUNIT_TEST(nextFenceExceedsThatOfEngine);
    CPPUNIT_TEST_SUITE_END();

    fake_clock clock;
    fake_engine engine;
    memory_store platform;

    planning_instance makeInstance(const std::string &name, engine_role role)
    {
        return {name, engine, platform, clock, role};
    }

    order_phase phase() { return recordIn(platform).phase; }
    std::uint64_t fence() { return recordIn(platform).fence; }

    /// Runs iterations until the record is in that phase.
    void runUntil(planning_instance &instance, order_phase wanted)
    {
        for (int iteration = 0; iteration < maxIterations; ++iteration) {
            instance.runOnce();
            if (fence() > 0 && phase() == wanted)
                return;
        }
        CPPUNIT_FAIL("the order did not reach the expected phase");
    }

    void runUntilSent(planning_instance &instance)
    {
        const std::size_t before = engine.received.size();
        for (int iteration = 0; iteration < maxIterations && engine.received.size() == before;
             ++iteration)
            instance.runOnce();
        CPPUNIT_ASSERT_EQUAL(before + 1, engine.received.size());
    }

public:
    void recordSurvivesSerialization()
    {
        order_record record;
        record.runner = engineId;
        record.fence = 7;
        record.phase = order_phase::Open;
        record.wanted = {engine_role::Decode, {model}};
        record.nonce = "n";
        record.writer = {"a"};
        record.wallMs = 123;
        CPPUNIT_ASSERT(valueOf(parseOrderRecord(textOf(record))) == record);
        for (const std::string text : {"", "[]", "{}", R"({"phase":"open"})"})
            CPPUNIT_ASSERT(!succeeded(parseOrderRecord(text)));
    }

    void poolHasOneAlivePlanner()
    {
        policy::view now;
        for (const auto *name : {"a", "b", "c"})
            now.members.emplace_back().id = {name};
        int planners = 0;
        for (policy::member &each : now.members) {
            if (!isPlannerOf(now, pool, each.id))
                continue;
            ++planners;
            each.state = policy::member_state::Leaving;
            CPPUNIT_ASSERT(!isPlannerOf(now, pool, each.id));
            each.state = policy::member_state::Alive;
        }
        CPPUNIT_ASSERT_EQUAL(1, planners);
    }

    void changeGoesThroughAllPhases()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Draining);
        runUntilSent(instance);
        CPPUNIT_ASSERT(phase() == order_phase::Open);
        const runner::engine_order sent = engine.received.front();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), sent.fence);
        CPPUNIT_ASSERT(sent.wanted == (policy::wanted_engine{engine_role::Prefill, {model}}));
        instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Open);
        engine.finishChange();
        instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.received.size());
        for (const auto *kind : {"order_draining", "order_open", "order_sent", "order_settled"})
            CPPUNIT_ASSERT(instance.hasEvent(kind));
    }

    void nextOrderHasHigherFence()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        runUntilSent(instance);
        engine.finishChange();
        instance.wantedRole = engine_role::Decode;
        runUntilSent(instance);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), engine.received.back().fence);
        CPPUNIT_ASSERT(engine.received.back().nonce != engine.received.front().nonce);
    }

    // One instance is partitioned and has not applied the reservation, so it may still send
    // requests to the engine. The change waits, and is withdrawn after the drain time without an
    // order. Once all instances have applied the reservation, the next order is sent.
    void unacknowledgedReservationBlocksChange()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.isAppliedEverywhere = false;
        instance.runOnce();
        const mono_time begun = clock.now;
        while (phase() == order_phase::Draining)
            instance.runOnce();
        CPPUNIT_ASSERT(clock.now - begun >= config::drainTimeout);
        CPPUNIT_ASSERT(engine.received.empty());
        CPPUNIT_ASSERT(instance.hasEvent("order_withdrawn"));
        instance.isAppliedEverywhere = true;
        runUntilSent(instance);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), engine.received.front().fence);
    }

    // The engine's reports lag behind: it reports itself idle, and only later reports a request
    // that it received before the reservation. That request must not be aborted, so one idle report
    // is not enough.
    void busyEngineBlocksChange()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.runOnce();
        instance.runOnce();
        engine.report.running = 1;
        for (int iteration = 0; iteration < maxIterations; ++iteration)
            instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Draining);
        engine.report.running = 0;
        instance.runOnce();
        CPPUNIT_ASSERT(engine.received.empty());
        instance.runOnce(config::requiredIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.received.size());
    }

    // The weight store refuses calls for now. The engine continues to serve: it is reserved only
    // once its weights are available.
    void throttledWeightStoreBlocksChange()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.wantedModels = {{"recovery-llm", "2"}};
        instance.weights = notRun(error_code::Throttled, "rate", milliseconds(3000));
        instance.runOnce();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fence());
        instance.weights = platform::weight_manifest{};
        instance.runOnce();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fence());
        instance.runOnce(milliseconds(3000));
        CPPUNIT_ASSERT(phase() == order_phase::Draining);
    }

    // The engine crashes during the change and restarts in its old state. It is sent the same order
    // under the same fencing token, so that it can't be mistaken for a new one.
    void crashedEngineReceivesSameOrderAgain()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        runUntilSent(instance);
        engine.crash();
        instance.runOnce();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), engine.received.size());
        CPPUNIT_ASSERT(engine.received.front() == engine.received.back());
        engine.finishChange();
        instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Settled);
    }

    // The writer stops permanently right after it wrote Open, before it sent the order. Its
    // successor wants a different state, but first finishes that order under its fencing token.
    void successorFinishesOpenOrder()
    {
        auto first = makeInstance("a", engine_role::Prefill);
        first.send = [](const endpoint &, const runner::engine_order &, mono_time) {
            return notRun(error_code::Cancelled, "stopped");
        };
        runUntil(first, order_phase::Open);
        auto second = makeInstance("b", engine_role::Decode);
        runUntilSent(second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), engine.received.front().fence);
        CPPUNIT_ASSERT(engine.received.front().wanted.role == engine_role::Prefill);
        engine.finishChange();
        runUntilSent(second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), engine.received.back().fence);
        CPPUNIT_ASSERT(engine.received.back().wanted.role == engine_role::Decode);
    }

    // The writer is paused after it wrote Open, and its order reaches the engine at the last
    // possible moment. The engine ignores fencing tokens, so the successor must not send or settle
    // anything before that, or the late order would undo a newer one.
    void successorWaitsForEngineThatIgnoresFences()
    {
        engine.checksFence = false;
        auto first = makeInstance("a", engine_role::Prefill);
        runner::engine_order held;
        mono_time lastMoment{};
        first.send = [&](const endpoint &, const runner::engine_order &order,
                         mono_time end) -> result<unit> {
            held = order;
            lastMoment = end + config::orderDeliveryTimeout;
            return mayHaveRun(error_code::TimedOut, "paused");
        };
        runUntil(first, order_phase::Open);
        const order_record opened = recordIn(platform);
        auto second = makeInstance("b", engine_role::Decode);
        while (clock.now + milliseconds(100) < lastMoment) {
            second.runOnce(milliseconds(50));
            CPPUNIT_ASSERT(engine.received.empty());
            CPPUNIT_ASSERT(recordIn(platform) == opened);
        }
        engine.order(held);
        engine.finishChange();
        runUntilSent(second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), engine.received.back().fence);
    }

    // The order is sent twice because the engine crashed; the first copy is still in transit when
    // the second is applied. The engine ignores fencing tokens, so the next order must wait until
    // that copy can no longer arrive.
    void unansweredSendDelaysSettling() { unansweredSend(false); }

    // As above, but the engine checks fencing tokens. It may restart without the token that it
    // accepted and then take the late copy for a new order: if the order were settled too early,
    // the engine would change role while streams are running on it.
    void unansweredSendDelaysSettlingWithFenceChecks() { unansweredSend(true); }

    void unansweredSend(bool checksFence)
    {
        engine.checksFence = checksFence;
        auto instance = makeInstance("a", engine_role::Prefill);
        int sends = 0;
        mono_time lastMoment{};
        instance.send = [&](const endpoint &, const runner::engine_order &order,
                            mono_time end) -> result<unit> {
            lastMoment = end + config::orderDeliveryTimeout;
            if (++sends > 1)
                return engine.order(order);
            return mayHaveRun(error_code::TimedOut, "no answer");
        };
        runUntil(instance, order_phase::Open);
        engine.crash();
        runUntilSent(instance);
        engine.finishChange();
        CPPUNIT_ASSERT_EQUAL(2, sends);
        while (clock.now + milliseconds(100) < lastMoment) {
            instance.runOnce(milliseconds(50));
            CPPUNIT_ASSERT(phase() == order_phase::Open);
        }
        runUntil(instance, order_phase::Settled);
    }

    // Open is written, and the store's answer is lost. The writer reads the record back, still has
    // its send window and sends; nothing is ordered twice.
    void lostAnswerToOpenKeepsSendWindow()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.runOnce();
        platform.outcomeOfWrite = [isLost = false]() mutable {
            return std::exchange(isLost, true) ? write_outcome::Answered
                                               : write_outcome::AnswerLost;
        };
        runUntilSent(instance);
        engine.finishChange();
        instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.received.size());
    }

    // Two instances both consider themselves the planner and drain the same engine. The one whose
    // write of Open comes second gets a conflict and sends only the order that won.
    void conflictingWriterSendsOnlyWinningOrder()
    {
        auto first = makeInstance("a", engine_role::Prefill);
        first.runOnce();
        auto second = makeInstance("b", engine_role::Decode);
        second.runOnce();
        second.isPlanning = false;
        runUntilSent(first);
        second.runOnce(config::requiredIdleTime);
        second.runOnce();
        for (const runner::engine_order &each : engine.received)
            CPPUNIT_ASSERT(each == engine.received.front());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fence());
    }

    // The store takes longer to answer the write of Open than the send window lasts. The window has
    // ended when the answer arrives, so the writer sends nothing and writes Open again.
    void slowStoreWriteGivesNoSendWindow()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.runOnce();
        platform.outcomeOfWrite = [&] {
            clock.now += config::orderWindow;
            return write_outcome::Answered;
        };
        for (int iteration = 0; iteration < maxIterations / 4; ++iteration)
            instance.runOnce();
        CPPUNIT_ASSERT(phase() == order_phase::Open);
        CPPUNIT_ASSERT(engine.received.empty());
    }

    // The engine has already seen a higher fencing token than the record has. It refuses the
    // order; the record is settled, and the next order's token exceeds the engine's.
    void nextFenceExceedsThatOfEngine()
    {
        auto instance = makeInstance("a", engine_role::Prefill);
        instance.runOnce();
        engine.report.lastFence = 41;
        runUntilSent(instance);
        CPPUNIT_ASSERT(engine.obeyed.empty());
        CPPUNIT_ASSERT(instance.hasEvent("order_stale"));
        runUntilSent(instance);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(42), engine.obeyed.back().fence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_test);
