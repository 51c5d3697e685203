#include "gateway/limit_bucket.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::gateway {

namespace {

double burstOf(double rate)
{
    return std::max(1.0, rate * config::limitBurstSeconds);
}

/// A runner names a limit because it has more requests than it can serve: what it got in the last
/// second beyond the limit is taken off what it gets next.
double debtOf(const limit_bucket &bucket, double perSecond)
{
    return std::clamp(bucket.sentBefore - perSecond, 0.0, perSecond * config::maxLimitDebtSeconds);
}

void refill(limit_bucket &bucket, double rate, mono_time now)
{
    if (bucket.filledAt != mono_time{}) {
        const double seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
        bucket.tokens += std::max(seconds, 0.0) * rate;
        bucket.waiting *= std::exp(-std::max(seconds, 0.0));
    }
    bucket.tokens = std::min(bucket.tokens, burstOf(rate));
    bucket.filledAt = now;
}

/// The time until there is a permit, and for the askers before this one. Randomized, so that each
/// of those that wait has the same chance.
milliseconds retryTimeOf(const limit_bucket &bucket, const bucket_query &query, double missing)
{
    const double rate = query.perSecond * query.share;
    const double ahead = bucket.waiting * toUnitInterval(query.draw);
    const double waitMs = std::min((missing + ahead) / rate * 1000, 1e6);
    return std::clamp(milliseconds(std::llround(waitMs)), config::minPermitRetryTime,
                      config::maxPermitRetryTime);
}

} // namespace

bucket_decision decide(limit_bucket &bucket, const bucket_query &query)
{
    const double rate = query.perSecond * query.share;
    refill(bucket, rate, query.now);
    const double debtBefore = debtOf(bucket, query.perSecond);
    bucket.sentBefore += query.sentBefore;
    bucket.tokens -= debtOf(bucket, query.perSecond) - debtBefore;
    // Late requests leave some permits to the urgent ones that follow.
    const double kept = query.isUrgent ? 0 : burstOf(rate) / 2;
    if (bucket.tokens - kept >= 1) {
        const auto available = static_cast<std::uint32_t>(bucket.tokens - kept);
        const std::uint32_t granted = std::min(std::max(query.count, 1U), available);
        bucket.tokens -= granted;
        bucket.waiting = std::max(bucket.waiting - 1, 0.0);
        return {granted, milliseconds(0)};
    }
    if (bucket.tokens >= 1)
        return {};
    bucket.waiting += 1;
    return {0, retryTimeOf(bucket, query, 1 - bucket.tokens)};
}

milliseconds retentionOf(double perSecond)
{
    constexpr double requests = 3;
    const milliseconds time(std::llround(requests / perSecond * 1000));
    return std::max(time, config::minBucketRetention);
}

} // namespace poplarspool::gateway
