#pragma once

#include "node/order_writer.h"
#include "poplarspool/node/orders.h"
#include "poplarspool/node/view_publisher.h"

#include <functional>
#include <unordered_map>

/// One iteration of a planner, without its thread.
namespace poplarspool::node {

/// @returns Whether `self` is the planner of that pool. Two instances whose views differ may both
///          consider themselves the planner; their conditional writes to the same records then
///          conflict, which is safe.
bool isPlannerOf(const policy::view &now, const pool_id &pool, const instance_id &self);

/// Decides on changes: policy::planPool(), except in tests.
using plan_function = std::function<policy::plan_step(
        const policy::view &, const pool_id &, const policy::plan_rule &,
        const policy::planner_state &, const policy::demand_estimate &, mono_time)>;

class planner_core
{
public:
    planner_core(planner_dependencies dependencies, view_publisher &views, order_context context,
                 plan_function decide = policy::planPool);

    /// Advances the orders in progress by one step, then plans.
    void runOnce();

private:
    /// State of one pool, kept while this instance plans the pool.
    struct pool_state
    {
        bool isLoaded = false; ///< Whether the order records have been read.
        policy::planner_state memory;
        std::unordered_map<runner_id, order_writer> writers;
    };

    void runPool(const policy::view &now, const policy::pool_spec &pool);
    bool loadRecords(const pool_id &pool, pool_state &state);
    void readRecord(const runner_id &runner, order_writer &writer);
    void stepOrders(const policy::view &now, const pool_id &pool, pool_state &state);
    void plan(const policy::view &now, const pool_id &pool, pool_state &state);

    const planner_dependencies dependencies;
    view_publisher &views;
    order_context context;
    const plan_function decide;
    std::unordered_map<pool_id, pool_state> poolStates;
};

} // namespace poplarspool::node
