#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <span>
#include <vector>

/// Which engines read prompts and which run requests. Pure functions over plain values.
namespace poplarspool::gateway {

/// One engine, as its planner sees it.
struct stage_engine
{
    runner_id id;
    zone_id zone;
    engine_stage stage = engine_stage::None; ///< Where an order is under way: the one it wants.
    std::uint32_t open = 0; ///< Requests sent to it and not ended, of all instances.
    bool isChanging = false; ///< An order is under way: it serves nobody, and gets no other one.

    bool operator==(const stage_engine &) const = default;
};

struct stage_change
{
    runner_id engine;
    engine_stage wanted = engine_stage::None;

    bool operator==(const stage_change &) const = default;
};

/// What a planner remembers of one service from look to look.
struct stage_memory
{
    double meanRunning = 0; ///< Moving mean of the requests open at all engines that run them.
    mono_time lookedAt{}; ///< 0: never.
    mono_time unevenSince{}; ///< Since when another split has been wanted; 0: it isn't.

    bool operator==(const stage_memory &) const = default;
};

/// @returns The memory after one more look.
stage_memory noteRunning(const stage_memory &memory, std::span<const stage_engine> engines,
                         mono_time now);

/// @returns Engines that should run requests; the others read prompts.
std::uint32_t wantedDecoders(std::size_t engines, std::uint32_t decodersNow,
                             const engine_traits &traits, double meanRunning);

/// @returns Changes that lead to the wanted split; none where it is good enough.
std::vector<stage_change> planStages(std::span<const stage_engine> engines,
                                     const engine_traits &traits, const stage_memory &memory);

/// @returns Those that are to be ordered now: planned ones that have been wanted for long enough.
/// @param memory Takes note of since when.
std::vector<stage_change> dueChanges(std::span<const stage_engine> engines,
                                     const engine_traits &traits, stage_memory &memory);

} // namespace poplarspool::gateway
