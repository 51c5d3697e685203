#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"

/// The one form in which every HTTP server of the product answers a failure.
namespace poplarspool {

/// @returns HTTP status of a failure: 400, 401, 403, 404, 409, 413, 429, 499, 502, 503, 504, 500.
int statusOf(const error &failure);

/// @returns `{"error":{…}}` with its status, and Retry-After where another try makes sense.
http_reply replyOf(const error &failure);

} // namespace poplarspool
