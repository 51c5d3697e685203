#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <span>
#include <vector>

/// Splits the engines of a service into the prefill and the decode stage. Pure functions over plain
/// values.
namespace poplarspool::gateway {

/// An engine, as input to the planner.
struct stage_engine
{
    runner_id id;
    zone_id zone;
    engine_stage stage = engine_stage::None; ///< While an order is pending: the ordered stage.
    std::uint32_t openRequests = 0; ///< Requests in flight, from all instances.
    bool isChanging = false; ///< An order is pending: it takes no requests and no other order.

    bool operator==(const stage_engine &) const = default;
};

struct stage_change
{
    runner_id engine;
    engine_stage wanted = engine_stage::None;

    bool operator==(const stage_change &) const = default;
};

/// State that the planner keeps for a service between iterations.
struct stage_plan_state
{
    double meanRunning = 0; ///< Moving average of the requests in flight on all decode engines.
    mono_time updatedAt{}; ///< 0 if never updated.
    /// Since when the plan differs from the current split; 0 if it doesn't.
    mono_time imbalancedSince{};
    /// Number of prefill engines from which further ones would be idle.
    std::uint32_t maxUsefulPrefill = UINT32_MAX;

    bool operator==(const stage_plan_state &) const = default;
};

/// @returns The state after one more iteration at `now`.
stage_plan_state updateMeanRunning(const stage_plan_state &state,
                                   std::span<const stage_engine> engines, mono_time now);

/// @returns The number of engines wanted in the decode stage; the others do prefill.
std::uint32_t wantedDecoders(std::size_t engines, std::uint32_t decodersNow,
                             const engine_traits &traits, const stage_plan_state &state);

/// @returns Changes that lead to the wanted split; empty if the current split is acceptable.
std::vector<stage_change> planStages(std::span<const stage_engine> engines,
                                     const engine_traits &traits, const stage_plan_state &state);

/// @returns The planned changes that are to be ordered now, because the plan has differed from the
/// current split for long enough.
/// @param state Is updated with the time since when the plan differs.
std::vector<stage_change> dueChanges(std::span<const stage_engine> engines,
                                     const engine_traits &traits, stage_plan_state &state);

} // namespace poplarspool::gateway
