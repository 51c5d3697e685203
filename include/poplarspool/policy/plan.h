#pragma once

#include "poplarspool/policy/view.h"

#include <cstdint>
#include <vector>

namespace poplarspool::policy {

/// The wanted state of one engine: absolute, never a step.
struct wanted_engine
{
    engine_role role = engine_role::Mixed;
    std::vector<model_version> models;

    bool operator==(const wanted_engine &) const = default;
};

/// Work that a pool was asked for lately, in seconds of engine time per second.
struct demand_estimate
{
    double prefillSeconds = 0;
    double decodeSeconds = 0;
    double prefillSpread = 0; ///< Standard deviation of single looks.
    double decodeSpread = 0;

    bool operator==(const demand_estimate &) const = default;
};

/// What a planner remembers between two looks; a successor starts from an empty one, which only
/// makes it slower to act.
struct plan_memory
{
    demand_estimate demand;
    /// Engine seconds lost so far by not changing (rent-or-buy): above 0 towards prefill, below 0
    /// towards decode.
    double regretSeconds = 0;
    mono_time lookedAt{};

    bool operator==(const plan_memory &) const = default;
};

struct planned_change
{
    runner_handle runner;
    wanted_engine wanted;

    bool operator==(const planned_change &) const = default;
};

struct plan_step
{
    std::vector<planned_change> changes; ///< To start now; often empty.
    plan_memory memory; ///< For the next look.
};

/// One look at a pool. Engines without the wanted models get them first; roles change only where
/// the engine seconds lost by not changing exceed the price of the change, as often as the rule's
/// weight says, and never while another change of the pool is in flight (docs/design/role-plan.md).
/// @param seen Demand since the last look.
plan_step planPool(const view &now, const pool_id &pool, const plan_rule &rule,
                   const plan_memory &memory, const demand_estimate &seen, mono_time time);

} // namespace poplarspool::policy
