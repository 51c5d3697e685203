#include "order_fakes.h"

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
constexpr int looksToRest = 120;

/// An order that is on its way and may arrive until `lastMoment`.
struct flying_order
{
    runner::engine_order order;
    mono_time lastMoment;
};

/// Two planners that want opposite roles, and everything between them and the engine that can go
/// wrong, drawn from one seed.
class chaos
{
public:
    chaos(unsigned seed, bool checksFence) : random(seed)
    {
        engine.checksFence = checksFence;
        clock.tick = milliseconds(5);
        for (planning_instance *each : {&first, &second})
            each->send = [this](const endpoint &, const runner::engine_order &order,
                                mono_time end) { return send(order, end); };
        platform.fateOf = [this] { return fate(); };
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
        next.look(milliseconds(draw(50, 900)));
    }

    /// No more faults, and one planner alone.
    void rest()
    {
        isFaulty = false;
        platform.deliverHeld();
        engine.report.running = 0;
        for (int look = 0; look < looksToRest; ++look) {
            first.look();
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

    write_fate fate()
    {
        if (happens(0.1))
            return write_fate::AnswerLost;
        return happens(0.05) ? write_fate::Held : write_fate::Answered;
    }

    /// The order arrives, or stays on its way until the guard and TCP's own limit end it.
    result<unit> send(const runner::engine_order &order, mono_time end)
    {
        if (clock.now >= end)
            return notRun(error_code::TimedOut, "window over");
        if (!happens(0.4))
            return engine.order(order);
        flying.push_back({order, end + config::orderDeliveryTime});
        return mayHaveRun(error_code::TimedOut, "no answer");
    }

    void deliver()
    {
        std::erase_if(flying, [&](const flying_order &each) {
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
    std::vector<flying_order> flying;
};

/// @returns Whether numbers never fall and each one names one order.
bool areInOrder(const std::vector<runner::engine_order> &orders)
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
    CPPUNIT_TEST(engineThatChecksFences);
    CPPUNIT_TEST(engineThatIgnoresFences);
    CPPUNIT_TEST_SUITE_END();

    static void race(bool checksFence)
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            chaos world(seed, checksFence);
            for (int step = 0; step < steps; ++step)
                world.step();
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, areInOrder(world.engine.obeyed));
            CPPUNIT_ASSERT_MESSAGE(message, world.engine.report.lastFence > 3);
            world.rest();
            CPPUNIT_ASSERT_MESSAGE(message, areInOrder(world.engine.obeyed));
            CPPUNIT_ASSERT_MESSAGE(message, world.engine.report.role == engine_role::Prefill);
            const order_record last = recordIn(world.platform);
            CPPUNIT_ASSERT_MESSAGE(message, last.phase == order_phase::Settled);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, world.engine.report.lastFence, last.fence);
        }
    }

public:
    // Two instances take themselves for the planner and want opposite roles, while the store loses
    // answers or delivers writes late, orders arrive late and the engine crashes. The engine obeys
    // one wanted state per number and never an old number, because it refuses those.
    void engineThatChecksFences() { race(true); }

    // The same with an engine that obeys whatever arrives. It must not even receive an order after
    // one with a higher number, because nobody else would refuse it.
    void engineThatIgnoresFences() { race(false); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_race_test);
