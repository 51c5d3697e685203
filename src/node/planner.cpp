#include "node/order_guard.h"
#include "node/planner_core.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace poplarspool::node {

namespace {

/// An order under the guard of its window.
result<unit> sendGuarded(const runner::engine_api &engines, const clock_source &clock,
                         const endpoint &engine, const runner::engine_order &order,
                         mono_time windowEnd)
{
    const order_guard guard(windowEnd);
    const auto timeLeft = std::chrono::floor<milliseconds>(windowEnd - clock.mono());
    if (guard.hasEnded() || timeLeft <= milliseconds::zero())
        return notRun(error_code::TimedOut, "order's window is over");
    return engines.order(engine, order, timeLeft);
}

} // namespace

struct planner::state
{
    state(planner_needs needs, view_hub &views, order_tools tools)
        : lookTime(needs.lookTime), core(std::move(needs), views, std::move(tools))
    { }

    void run()
    {
        std::unique_lock guard(lock);
        while (!isStopping) {
            guard.unlock();
            core.look();
            guard.lock();
            changed.wait_for(guard, lookTime, [this] { return isStopping; });
        }
    }

    const milliseconds lookTime;
    planner_core core; ///< Used by the thread alone.
    std::mutex lock;
    std::condition_variable changed;
    bool isStopping = false;
    std::thread thread;
};

planner::planner(planner_needs needs, view_hub &views, platform::object_store &store,
                 platform::weight_store weights, runner::engine_api engines, clock_source clock,
                 metrics_registry &metrics, journal &events)
{
    order_tools tools{.self = needs.self,
                      .deployment = needs.deployment,
                      .appliedEverywhere = needs.appliedEverywhere,
                      .store = store,
                      .weights = std::move(weights),
                      .load = engines.load,
                      .send = {},
                      .clock = clock,
                      .metrics = metrics,
                      .events = events};
    tools.send = [engines = std::move(engines), clock = std::move(clock)](
                         const endpoint &engine, const runner::engine_order &order,
                         mono_time windowEnd) {
        return sendGuarded(engines, clock, engine, order, windowEnd);
    };
    inner = std::make_unique<state>(std::move(needs), views, std::move(tools));
}

planner::~planner()
{
    stop();
}

void planner::start()
{
    inner->thread = std::thread([this] { inner->run(); });
}

void planner::stop()
{
    {
        const std::lock_guard guard(inner->lock);
        inner->isStopping = true;
        inner->changed.notify_all();
    }
    if (inner->thread.joinable())
        inner->thread.join();
}

} // namespace poplarspool::node
