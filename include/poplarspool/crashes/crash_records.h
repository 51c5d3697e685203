#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"

#include <cstdint>
#include <functional>
#include <vector>

/// Records of requests during which runners crashed. A request that crashes each runner that
/// executes it could, if its caller keeps retrying, bring down a whole service for all callers.
namespace poplarspool::crashes {

/// The incarnation of a runner that an instance has sent a request to.
struct observed_runner
{
    runner_id id;
    std::uint64_t startedAtMs = 0; ///< Unix time in ms; 0 if not reported.
    endpoint address;
    zone_id zone;

    bool operator==(const observed_runner &) const = default;
};

/// An incarnation of a runner that has ended.
struct ended_incarnation
{
    std::uint64_t incarnationKey = 0; ///< incarnationKeyOf() the runner.
    std::int64_t endedAtMs = 0; ///< Unix time in ms, by the clock of the observing instance.

    bool operator==(const ended_incarnation &) const = default;
};

/// @returns A key of one incarnation of a runner; the same on all instances.
std::uint64_t incarnationKeyOf(const observed_runner &target);

/// The incarnations of runners that ended while they executed a request. A set: an end that is
/// received twice, or observed by two instances, counts once.
struct crash_record
{
    std::uint64_t digest = 0; ///< Digest of the request.
    /// Sorted by key, without duplicates; at most config::maxCrashIncarnations.
    std::vector<ended_incarnation> incarnations;
    /// When the request last completed, in Unix ms; ends up to then don't count.
    std::int64_t servedAtMs = 0;

    bool operator==(const crash_record &) const = default;
};

/// @returns The union of both records; commutative and idempotent.
/// @attention Both must have the same digest.
crash_record merged(const crash_record &a, const crash_record &b);

/// The records as persisted in the store, so that they survive a restart of all instances.
struct crash_record_list
{
    std::vector<crash_record> records;
    store_version version; ///< Version of the stored object; revision 0 if it doesn't exist yet.

    bool operator==(const crash_record_list &) const = default;
};

/// Access to the crash records in the store.
struct crash_record_store
{
    std::function<result<crash_record_list>()> read;
    /// Replaces the list if the store has version `next.version`; creates it if that revision is 0.
    /// @returns Conflict if the store has another version.
    std::function<result<unit>(const crash_record_list &next)> write;
};

} // namespace poplarspool::crashes
