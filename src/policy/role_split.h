#pragma once

#include "poplarspool/policy/plan.h"

#include <optional>
#include <vector>

/// Finds the best split of a pool's engines into roles for a given demand.
namespace poplarspool::policy {

/// Engines in service, by role.
struct role_split
{
    std::uint32_t mixed = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;

    std::uint32_t total() const { return mixed + prefill + decode; }
    bool operator==(const role_split &) const = default;
};

std::uint32_t &countOf(role_split &split, engine_role role);

/// Whether a request can move to another engine between prefill and decode.
enum class serving_mode {
    SingleEngine, ///< One engine does both phases.
    PrefillHandoff, ///< The KV cache is exported after prefill and imported by the decode engine.
};

struct role_move
{
    engine_role from = engine_role::Mixed;
    engine_role to = engine_role::Mixed;

    bool operator==(const role_move &) const = default;
};

/// @returns Demand in engine seconds per second that the split can't serve in time, averaged over
///          the uncertainty of the demand.
double expectedLoss(const role_split &split, const demand_estimate &demand, serving_mode mode);

struct split_advice
{
    double gain = 0; ///< Engine seconds per second saved by the best split over the current one.
    std::vector<role_move> moves; ///< Moves to the best split, with the most effective first.

    bool operator==(const split_advice &) const = default;
};

split_advice adviseSplit(const role_split &present, const demand_estimate &demand,
                         serving_mode mode);

} // namespace poplarspool::policy
