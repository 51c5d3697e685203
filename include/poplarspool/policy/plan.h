#pragma once

#include "poplarspool/policy/view.h"

#include <cstdint>
#include <vector>

namespace poplarspool::policy {

/// Desired state of one engine; absolute, not relative to its current state.
struct wanted_engine
{
    engine_role role = engine_role::Mixed;
    std::vector<model_version> models;

    bool operator==(const wanted_engine &) const = default;
};

/// Recent demand on a pool, in seconds of engine time per second.
struct demand_estimate
{
    double prefillSeconds = 0;
    double decodeSeconds = 0;
    double prefillStdDev = 0; ///< Standard deviation of single iterations.
    double decodeStdDev = 0;

    bool operator==(const demand_estimate &) const = default;
};

/// State of a planner between two iterations. A successor starts from an empty state, which only
/// delays its first changes.
struct planner_state
{
    demand_estimate demand;
    /// Accumulated cost of not changing roles, in engine seconds (rent-or-buy rule). Above 0 if
    /// changes towards prefill would avoid it, below 0 for changes towards decode.
    double regretSeconds = 0;
    mono_time lastIterationAt{};

    bool operator==(const planner_state &) const = default;
};

struct planned_change
{
    runner_handle runner;
    wanted_engine wanted;

    bool operator==(const planned_change &) const = default;
};

struct plan_step
{
    std::vector<planned_change> changes; ///< To start now; may be empty.
    planner_state plannerState; ///< For the next iteration.
};

/// Runs one planning iteration for a pool. Engines that lack models of their pool get them first. A
/// role changes only once the engine seconds lost by not changing exceed the cost of the change
/// times a factor that follows from the rule's goodput weight, and never while another change of
/// the pool is in flight (docs/design/role-plan.md).
/// @param seen Demand since the last iteration.
plan_step planPool(const view &now, const pool_id &pool, const plan_rule &rule,
                   const planner_state &memory, const demand_estimate &seen, mono_time time);

} // namespace poplarspool::policy
