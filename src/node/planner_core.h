#pragma once

#include "node/order_writer.h"
#include "poplarspool/node/orders.h"
#include "poplarspool/node/view_hub.h"

#include <functional>
#include <unordered_map>

/// What a planner does on each look, without its thread.
namespace poplarspool::node {

/// @returns Whether the planner of that pool falls on `self`. Two instances whose views differ may
///          both think so; they then race for the same records, and no more.
bool isPlannerOf(const policy::view &now, const pool_id &pool, const instance_id &self);

/// What decides on changes: policy::planPool() but in tests.
using plan_function = std::function<policy::plan_step(
        const policy::view &, const pool_id &, const policy::plan_rule &,
        const policy::plan_memory &, const policy::demand_estimate &, mono_time)>;

class planner_core
{
public:
    planner_core(planner_needs dependencies, view_hub &views, order_tools context,
                 plan_function decide = policy::planPool);

    /// Takes the orders under way one step on, then plans.
    void look();

private:
    /// What this planner holds of one pool while the pool is its own.
    struct pool_state
    {
        bool isLoaded = false; ///< Whether the order records were read.
        policy::plan_memory memory;
        std::unordered_map<runner_id, order_writer> writers;
    };

    void runPool(const policy::view &now, const policy::pool_spec &pool);
    bool loadRecords(const pool_id &pool, pool_state &state);
    void readRecord(const runner_id &runner, order_writer &writer);
    void stepOrders(const policy::view &now, const pool_id &pool, pool_state &state);
    void plan(const policy::view &now, const pool_id &pool, pool_state &state);

    const planner_needs dependencies;
    view_hub &views;
    order_tools context;
    const plan_function decide;
    std::unordered_map<pool_id, pool_state> poolStates;
};

} // namespace poplarspool::node
