#include "gateway/permit_issuer.h"

#include "poplarspool/gateway/limits.h"

namespace poplarspool::gateway {

bucket_decision permit_issuer::issue(std::uint32_t runner, std::uint64_t startedAtMs,
                                     const bucket_query &query)
{
    const std::lock_guard lock(guard);
    removeUnused(query.now);
    issued_limit &limit = limits[runner];
    // A runner that has restarted has none of the requests that its former incarnation got.
    if (limit.startedAtMs != startedAtMs)
        limit = {};
    limit.startedAtMs = startedAtMs;
    limit.retention = retentionOf(query.perSecond);
    return decide(limit.bucket, query);
}

void permit_issuer::forget(std::uint32_t runner)
{
    const std::lock_guard lock(guard);
    limits.erase(runner);
}

void permit_issuer::removeUnused(mono_time now)
{
    if (now - checkedAt < config::minBucketRetention)
        return;
    checkedAt = now;
    std::erase_if(limits, [now](const auto &one) {
        return now - one.second.bucket.filledAt > one.second.retention;
    });
}

} // namespace poplarspool::gateway
