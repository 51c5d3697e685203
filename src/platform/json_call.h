#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"

#include <memory>
#include <nlohmann/json.hpp>

/// JSON calls over HTTP, shared by the clients of the platform's three services. HTTP statuses
/// become errors.
namespace poplarspool::platform {

/// Address of one service of the platform, with the connections and the time limit to call it.
struct platform_endpoint
{
    endpoint address;
    std::shared_ptr<http_pool> pool;
    milliseconds callTimeout;
};

/// Whether a failed call can have had an effect.
enum class call_effect {
    Read, ///< Changes nothing: each failure is NotRun.
    Write, ///< May have taken effect, unless the platform replied that it did not.
};

/// @returns The JSON object of a reply with status 200. Other statuses become errors:
///          400 BadRequest, 404 NotFound, 409 Conflict, 413 TooLarge and 429 Throttled are NotRun;
///          5xx is Unavailable, and any other status is Broken.
result<nlohmann::json> callJson(const platform_endpoint &server, const http_request &request,
                                call_effect effect, milliseconds timeLimit);

/// @returns The error for a reply that is not the expected JSON.
error malformedReply(const http_request &request, call_effect effect);

} // namespace poplarspool::platform
