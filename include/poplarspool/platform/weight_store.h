#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarspool::platform {

/// The weight store's metadata of one model version. Engines download the weights themselves.
struct weight_manifest
{
    std::string model;
    std::string version;
    std::uint64_t bytes = 0;

    bool operator==(const weight_manifest &) const = default;
};

/// Interface to the weight store, which limits the rate of calls.
struct weight_store
{
    /// @returns The manifest; NotFound where the version does not exist; Throttled with retryAfter
    ///          above the rate limit.
    std::function<result<weight_manifest>(const std::string &model, const std::string &version)>
            manifest;
};

/// @returns A client that speaks JSON over HTTP.
/// @param callTimeout Time limit of one call.
weight_store httpWeightStore(endpoint address, std::shared_ptr<http_pool> pool,
                             milliseconds callTimeout);

} // namespace poplarspool::platform
