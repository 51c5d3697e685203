#pragma once

#include "poplarspool/base/clock.h"

#include <cstdint>

/// The token bucket of a runner's rate limit, from which one instance issues permits to all. Pure
/// functions over plain values.
namespace poplarspool::gateway {

struct limit_bucket
{
    double tokens = 0; ///< Permits that may be issued now; negative: too many requests were sent.
    mono_time filledAt{}; ///< Time of the last decision; 0: none yet.
    /// Requests that the runner got in the second before its limit was known, as far as reported.
    double sentBefore = 0;
    /// Instances that were denied a permit lately and may ask again; decays within a second.
    double waiting = 0;

    bool operator==(const limit_bucket &) const = default;
};

/// What one instance asks for.
struct bucket_query
{
    double perSecond = 0; ///< The runner's limit.
    double share = 1; ///< Part of the limit that this bucket may issue.
    std::uint32_t count = 1;
    bool isUrgent = true;
    std::uint32_t sentBefore = 0; ///< Of the asker, to be added to those of the others.
    mono_time now{};
    std::uint64_t draw = 0; ///< Uniformly distributed random bits.

    bool operator==(const bucket_query &) const = default;
};

struct bucket_decision
{
    std::uint32_t granted = 0;
    milliseconds retryIn{0}; ///< If none is granted; 0: there are permits for urgent requests.

    bool operator==(const bucket_decision &) const = default;
};

/// @param bucket Is updated.
bucket_decision decide(limit_bucket &bucket, const bucket_query &query);

/// @returns Time without a query after which the bucket need not be kept.
milliseconds retentionOf(double perSecond);

} // namespace poplarspool::gateway
