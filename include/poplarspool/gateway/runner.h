#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/withdrawals/withdrawal.h"

#include <cstdint>
#include <string_view>

namespace poplarspool::gateway {

using service_id = name_of<struct service_tag>; ///< A group of interchangeable runners.

/// Version of a runner's software. Versions have no order: they are equal or different. A runner
/// that reports none has the empty one.
using software_version = name_of<struct software_version_tag>;

/// Hash of a software version.
using version_key = std::uint64_t;

version_key versionKeyOf(const software_version &version);

enum class engine_stage {
    None, ///< Not a staged engine: a plain service, or an engine that does all work.
    Prefill, ///< Processes prompts only.
    Decode, ///< Generates tokens; can also process prompts, more slowly.
};

std::string_view nameOf(engine_stage stage);

/// A target, as it registered itself with the platform.
struct runner
{
    runner_id id;
    /// Start time in Unix milliseconds; identifies the incarnation. A runner that restarts under
    /// the same id has none of the state of its previous incarnation. 0 if not reported.
    std::uint64_t startedAtMs = 0;
    /// Sequence number of the write that produced this entry, counted from the runner's start. 0 if
    /// not reported.
    std::uint64_t writes = 0;
    service_id service;
    endpoint address;
    zone_id zone;
    software_version version;
    std::uint32_t slots = 1; ///< Requests that it runs concurrently.
    bool isDraining = false;
    engine_stage stage = engine_stage::None;
    /// Spot capacity: cheaper, but may be reclaimed together with the whole zone.
    bool isSpot = false;
    /// End of the grace period of a runner that is no longer listed but may come back. It gets no
    /// requests from then on.
    mono_time retainedUntil = mono_time::max();

    bool operator==(const runner &) const = default;
};

withdrawals::runner_life lifeOf(const runner &target);

/// @returns Whether two entries of a runner are equal apart from the sequence number of their
/// write.
bool equalExceptWrites(const runner &one, runner other);

} // namespace poplarspool::gateway
