#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"
#include "poplarspool/gateway/catalogue.h"

#include <cstdint>
#include <functional>
#include <vector>

/// Requests under which runners end. One that ends each runner that begins it would, tried again
/// and again by its caller, take a whole service away from all others.
namespace poplarspool::gateway {

/// One life of a runner that has ended.
struct ended_life
{
    std::uint64_t life = 0; ///< lifeKeyOf() the runner.
    std::int64_t endedMs = 0; ///< Unix time, by the clock of who saw it.

    bool operator==(const ended_life &) const = default;
};

/// @returns The number that stands for one life of a runner, the same at all instances.
std::uint64_t lifeKeyOf(const runner &target);

/// What is known against a request: the lives of runners that ended while they ran it. A set: told
/// twice, or seen by two instances, an end counts once.
struct suspect
{
    std::uint64_t digest = 0; ///< Of the request.
    std::vector<ended_life> lives; ///< By key, each once; at most config::maxSuspectLives.
    std::int64_t servedMs = 0; ///< When it was last served whole: ends up to then don't count.

    bool operator==(const suspect &) const = default;
};

/// @returns The join of both: commutative and idempotent.
/// @attention Only for one digest.
suspect joined(const suspect &a, const suspect &b);

/// What the store keeps, so that it outlasts all instances.
struct suspect_list
{
    std::vector<suspect> suspects;
    store_version version; ///< Of the object in the store; revision 0: there is none yet.

    bool operator==(const suspect_list &) const = default;
};

/// The store, as far as suspects need it.
struct suspect_store
{
    std::function<result<suspect_list>()> read;
    /// Replaces the list of that very revision, or creates it where the revision is 0.
    /// @returns Conflict where another one stands there.
    std::function<result<unit>(const suspect_list &next)> write;
};

} // namespace poplarspool::gateway
