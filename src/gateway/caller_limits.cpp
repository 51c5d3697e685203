#include "gateway/caller_limits.h"

#include "poplarspool/config.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

http_limits callerLimitsOf(const caller_bounds &bounds)
{
    http_limits limits = defaultHttpLimits();
    limits.headerBytes = bounds.headerBytes;
    limits.bodyBytes = bounds.bodyBytes;
    limits.readTime = std::max(bounds.headerTime, config::requestReadTime);
    // Callers reuse connections that have been idle for nearly the whole limit. Closing them
    // exactly at the limit would close some of them under a request.
    limits.keepAliveTime = bounds.idleTime + config::idleMargin;
    return limits;
}

} // namespace poplarspool::gateway
