#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/gateway/catalogue.h"

namespace poplarspool::gateway {

/// @returns The limits of the callers' server, as the routes' configuration bounds callers.
http_limits callerLimitsOf(const caller_bounds &bounds);

} // namespace poplarspool::gateway
