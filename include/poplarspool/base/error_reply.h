#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"

/// Error replies in the format shared by all HTTP servers of the product.
namespace poplarspool {

/// @returns The HTTP status of a failure: one of 400, 401, 403, 404, 409, 413, 429, 499, 500, 502,
///          503 and 504.
int statusOf(const error &failure);

/// @returns The reply `{"error":{…}}` with its status, and with Retry-After if the failure has one.
http_reply replyOf(const error &failure);

} // namespace poplarspool
