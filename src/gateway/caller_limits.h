#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/gateway/catalogue.h"

namespace poplarspool::gateway {

/// @returns The limits of the callers' server for the bounds in the routes' configuration.
http_limits callerLimitsOf(const caller_request_limits &bounds);

} // namespace poplarspool::gateway
