#include "gateway/caller_limits.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

http_limits callerLimitsOf(const caller_request_limits &bounds)
{
    http_limits limits = defaultHttpLimits();
    limits.headerBytes = bounds.headerBytes;
    limits.bodyBytes = bounds.bodyBytes;
    limits.readTimeout = std::max(bounds.headerTimeout, config::requestReadTimeout);
    // Callers reuse connections that have been idle for nearly the whole limit. Closing them
    // exactly at the limit would close some of them under a request.
    limits.keepAliveTimeout = bounds.idleTimeout + config::idleMargin;
    return limits;
}

} // namespace poplarspool::gateway
