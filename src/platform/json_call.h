#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"

#include <memory>
#include <nlohmann/json.hpp>

/// What the three parts of the platform have in common on the wire: JSON over HTTP, statuses as
/// errors.
namespace poplarspool::platform {

/// Where a part of the platform is, and how it is reached.
struct json_target
{
    endpoint address;
    std::shared_ptr<http_pool> pool;
    milliseconds callTime;
};

/// What a failure of a call says about its effect.
enum class call_effect {
    Read, ///< Changes nothing, so that every failure is NotRun.
    Write, ///< May have taken effect unless the platform said that it had not.
};

/// @returns The JSON of a reply with status 200. Other statuses become errors: 404 NotFound,
///          409 Conflict, 413 TooLarge, 429 Throttled, all NotRun; anything else Unavailable or
///          Broken.
result<nlohmann::json> callJson(const json_target &target, const http_request &request,
                                call_effect effect, milliseconds timeLimit);

/// @returns The failure of a reply whose JSON lacks what it must have.
error brokenReply(const http_request &request, call_effect effect);

} // namespace poplarspool::platform
