#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"
#include "poplarspool/gateway/catalogue.h"

#include <cstdint>
#include <functional>
#include <vector>

/// Records of requests during which runners crashed. A request that crashes each runner that
/// executes it could, if its caller keeps retrying, bring down a whole service for all callers.
namespace poplarspool::gateway {

/// An incarnation of a runner that has ended.
struct ended_life
{
    std::uint64_t life = 0; ///< incarnationKeyOf() the runner.
    std::int64_t endedMs = 0; ///< Unix time in ms, by the clock of the observing instance.

    bool operator==(const ended_life &) const = default;
};

/// @returns A key of one incarnation of a runner; the same on all instances.
std::uint64_t lifeKeyOf(const runner &target);

/// The incarnations of runners that ended while they executed a request. A set: an end that is
/// received twice, or observed by two instances, counts once.
struct suspect
{
    std::uint64_t digest = 0; ///< Digest of the request.
    /// Sorted by key, without duplicates; at most config::maxSuspectLives.
    std::vector<ended_life> lives;
    /// When the request last completed, in Unix ms; ends up to then don't count.
    std::int64_t servedMs = 0;

    bool operator==(const suspect &) const = default;
};

/// @returns The union of both records; commutative and idempotent.
/// @attention Both must have the same digest.
suspect joined(const suspect &a, const suspect &b);

/// The records as persisted in the store, so that they survive a restart of all instances.
struct suspect_list
{
    std::vector<suspect> suspects;
    store_version version; ///< Version of the stored object; revision 0 if it doesn't exist yet.

    bool operator==(const suspect_list &) const = default;
};

/// Access to the crash records in the store.
struct suspect_store
{
    std::function<result<suspect_list>()> read;
    /// Replaces the list if the store has version `next.version`; creates it if that revision is 0.
    /// @returns Conflict if the store has another version.
    std::function<result<unit>(const suspect_list &next)> write;
};

} // namespace poplarspool::gateway
