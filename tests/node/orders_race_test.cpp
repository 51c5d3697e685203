#include "order_fakes.h"
#include "poplarspool/node/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

using namespace poplarspool;
using namespace poplarspool::node;
using namespace poplarspool::node::order_fakes;
using policy::engine_role;

namespace {

constexpr int steps = 400;
constexpr unsigned seeds = 6;
constexpr int iterationsWithoutFaults = 120;

/// An order that is in transit and may arrive until `lastMoment`.
struct in_flight_order
{
    runner::engine_order order;
    mono_time lastMoment;
};

/// Two planners that want opposite roles, with random faults between them and the engine, drawn
/// from one seed.
class fault_injection_run
{
public:
    fault_injection_run(unsigned seed, bool checksFence) : random(seed)
    {
        engine.checksFence = checksFence;
        clock.tick = milliseconds(5);
        for (planning_instance *each : {&first, &second})
            each->send = [this](const endpoint &, const runner::engine_order &order,
                                mono_time end) { return send(order, end); };
        platform.outcomeOfWrite = [this] { return writeOutcome(); };
    }

    void step()
    {
        deliver();
        if (happens(0.3))
            engine.finishChange();
        if (happens(0.03))
            engine.crash();
        if (happens(0.05))
            platform.deliverHeld();
        engine.report.running = happens(0.1) ? 1 : 0;
        planning_instance &next = happens(0.5) ? first : second;
        next.runOnce(milliseconds(draw(50, 900)));
    }

    /// Runs without faults and with only the first planner.
    void runWithoutFaults()
    {
        isFaulty = false;
        platform.deliverHeld();
        engine.report.running = 0;
        for (int iteration = 0; iteration < iterationsWithoutFaults; ++iteration) {
            first.runOnce();
            deliver();
            engine.finishChange();
        }
    }

    fake_clock clock;
    fake_engine engine;
    memory_store platform;
    planning_instance first{"a", engine, platform, clock, engine_role::Prefill};
    planning_instance second{"b", engine, platform, clock, engine_role::Decode};

private:
    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(random);
    }
    bool happens(double share) { return isFaulty && std::bernoulli_distribution(share)(random); }

    write_outcome writeOutcome()
    {
        if (happens(0.1))
            return write_outcome::AnswerLost;
        return happens(0.05) ? write_outcome::Held : write_outcome::Answered;
    }

    /// Delivers the order, or keeps it in transit until the guard and TCP's time limit end it.
    result<unit> send(const runner::engine_order &order, mono_time end)
    {
        if (clock.now >= end)
            return notRun(error_code::TimedOut, "window over");
        if (!happens(0.4))
            return engine.order(order);
        inFlight.push_back({order, end + config::orderDeliveryTimeout});
        return mayHaveRun(error_code::TimedOut, "no answer");
    }

    void deliver()
    {
        std::erase_if(inFlight, [&](const in_flight_order &each) {
            if (each.lastMoment < clock.now)
                return true;
            if (isFaulty && !happens(0.3))
                return false;
            engine.order(each.order);
            return true;
        });
    }

    std::mt19937 random;
    bool isFaulty = true;
    std::vector<in_flight_order> inFlight;
};

/// @returns Whether fencing tokens never decrease and each one identifies one order.
bool areFencesConsistent(const std::vector<runner::engine_order> &orders)
{
    std::map<std::uint64_t, runner::engine_order> byFence;
    const bool isConsistent = std::ranges::all_of(orders, [&](const runner::engine_order &each) {
        return byFence.try_emplace(each.fence, each).first->second == each;
    });
    return isConsistent && std::ranges::is_sorted(orders, {}, &runner::engine_order::fence);
}

} // namespace

class orders_race_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_race_test);
    CPPUNIT_TEST(engineCheckingFencesObeysOrdersInSequence);
    CPPUNIT_TEST(engineIgnoringFencesReceivesOrdersInSequence);
    CPPUNIT_TEST_SUITE_END();

    static void race(bool checksFence)
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            fault_injection_run run(seed, checksFence);
            for (int step = 0; step < steps; ++step)
                run.step();
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, areFencesConsistent(run.engine.obeyed));
            CPPUNIT_ASSERT_MESSAGE(message, run.engine.report.lastFence > 3);
            run.runWithoutFaults();
            CPPUNIT_ASSERT_MESSAGE(message, areFencesConsistent(run.engine.obeyed));
            CPPUNIT_ASSERT_MESSAGE(message, run.engine.report.role == engine_role::Prefill);
            const order_record last = recordIn(run.platform);
            CPPUNIT_ASSERT_MESSAGE(message, last.phase == order_phase::Settled);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, run.engine.report.lastFence, last.fence);
        }
    }

public:
    // Two instances consider themselves the planner and want opposite roles, while the store loses
    // answers or delivers writes late, orders arrive late and the engine crashes. The engine
    // refuses outdated fencing tokens, so it applies one wanted state per token, and none under an
    // outdated token.
    void engineCheckingFencesObeysOrdersInSequence() { race(true); }

    // The same with an engine that applies every order. It must not even receive an order after one
    // with a higher fencing token, because nothing else would refuse it.
    void engineIgnoringFencesReceivesOrdersInSequence() { race(false); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_race_test);
