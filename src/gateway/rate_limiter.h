#pragma once

#include "gateway/rate_limit_table.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/gateway/runner.h"

#include <string>

namespace poplarspool::gateway {

/// @returns The limit in requests per second, or "none".
std::string textOfLimit(const std::optional<double> &perSecond);

/// How a runner has answered a request.
enum class reply_kind {
    Accepted, ///< It has begun to work on the request.
    Refused, ///< It has not run the request.
};

/// Knows the rate limits that runners name.
class rate_limiter
{
public:
    /// @param headerName Header in which runners name their limit; empty: they name none.
    rate_limiter(std::string headerName, clock_source clock, metrics_registry &metrics,
                 journal &events);

    /// Called with the headers of each reply that the runner has written itself.
    /// @param askedAt When the request was sent.
    void recordReply(const runner &target, const http_headers &headers, reply_kind kind,
                     mono_time askedAt);
    /// @returns None if the runner has no limit.
    std::optional<double> limitOf(const runner &target) const;
    void removeUnlisted(const runner_set &listed) { table.removeUnlisted(listed); }

private:
    void logChange(const runner &target, const rate_limit_change &change,
                   const rate_limit_observation &observed);

    const std::string headerName;
    const clock_source clock;
    journal &events;
    gauge &limitedRunners;
    rate_limit_table table;
};

} // namespace poplarspool::gateway
