#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_publisher.h"
#include "poplarspool/platform/object_store.h"
#include "poplarspool/platform/weight_store.h"
#include "poplarspool/policy/plan.h"
#include "poplarspool/runner/engine.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace poplarspool::node {

enum class order_phase {
    Draining, ///< The engine is reserved: instances send it no new work. The order is not sent yet.
    Open, ///< The order may have been sent under this fencing token.
    Settled, ///< The engine has applied the order, or the order was withdrawn before it was open.
};

/// The order record of one engine, stored under orderKey(). Its fencing token only increases.
struct order_record
{
    runner_id runner;
    std::uint64_t fence = 0;
    order_phase phase = order_phase::Settled;
    policy::wanted_engine wanted;
    std::string nonce; ///< Of the write that stored this record.
    instance_id writer;
    std::int64_t wallMs = 0;

    bool operator==(const order_record &) const = default;
};

std::string textOf(const order_record &record);
result<order_record> parseOrderRecord(std::string_view text);

/// What the planner needs from the other components of the instance.
struct planner_dependencies
{
    instance_id self;
    std::string deployment;
    milliseconds interval;
    /// @returns Demand on a pool over all instances since the previous call for that pool.
    std::function<policy::demand_estimate(const pool_id &)> demand;
    /// @returns Whether every instance has applied that store version, so that none sends work to a
    ///          runner reserved by then.
    std::function<bool(std::uint64_t version)> appliedEverywhere;
};

/// Plans the pools assigned to this instance and writes the orders to their engines. A thread
/// periodically reserves engines, waits until all instances have acknowledged the reservation and
/// the engine is idle, and sends the order. Takes over unsettled records of earlier planners. See
/// docs/design/orders.md.
class planner
{
public:
    planner(planner_dependencies dependencies, view_publisher &views, platform::object_store &store,
            platform::weight_store weights, runner::engine_api engines, clock_source clock,
            metrics_registry &metrics, journal &events);
    ~planner();
    void start();
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
