#include "node/order_guard.h"
#include "node/planner_core.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace poplarspool::node {

namespace {

/// Sends an order under an order_guard that ends with its send window.
result<unit> sendGuarded(const runner::engine_api &engines, const clock_source &clock,
                         const endpoint &engine, const runner::engine_order &order,
                         mono_time windowEnd)
{
    const order_guard guard(windowEnd);
    const auto timeLeft = std::chrono::floor<milliseconds>(windowEnd - clock.mono());
    if (guard.hasEnded() || timeLeft <= milliseconds::zero())
        return notRun(error_code::TimedOut, "order not sent: its send window has ended");
    return engines.order(engine, order, timeLeft);
}

} // namespace

struct planner::state
{
    state(planner_dependencies dependencies, view_publisher &views, order_context context)
        : interval(dependencies.interval), core(std::move(dependencies), views, std::move(context))
    { }

    void run()
    {
        std::unique_lock guard(lock);
        while (!isStopping) {
            guard.unlock();
            core.runOnce();
            guard.lock();
            changed.wait_for(guard, interval, [this] { return isStopping; });
        }
    }

    const milliseconds interval;
    planner_core core; ///< Used only by the thread.
    std::mutex lock;
    std::condition_variable changed;
    bool isStopping = false;
    std::thread thread;
};

planner::planner(planner_dependencies dependencies, view_publisher &views,
                 platform::object_store &store, platform::weight_store weights,
                 runner::engine_api engines, clock_source clock, metrics_registry &metrics,
                 journal &events)
{
    order_context context{.self = dependencies.self,
                          .deployment = dependencies.deployment,
                          .appliedEverywhere = dependencies.appliedEverywhere,
                          .store = store,
                          .weights = std::move(weights),
                          .load = engines.load,
                          .send = {},
                          .clock = clock,
                          .metrics = metrics,
                          .events = events};
    context.send = [engines = std::move(engines), clock = std::move(clock)](
                           const endpoint &engine, const runner::engine_order &order,
                           mono_time windowEnd) {
        return sendGuarded(engines, clock, engine, order, windowEnd);
    };
    inner = std::make_unique<state>(std::move(dependencies), views, std::move(context));
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
