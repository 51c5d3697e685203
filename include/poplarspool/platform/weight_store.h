#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarspool::platform {

/// What the weight store says of one model version. Engines fetch the weights themselves.
struct weight_manifest
{
    std::string model;
    std::string version;
    std::uint64_t bytes = 0;

    bool operator==(const weight_manifest &) const = default;
};

/// The seam to the weight store, which limits the rate of calls.
struct weight_store
{
    /// @returns NotFound, or Throttled with retryAfter.
    std::function<result<weight_manifest>(const std::string &model, const std::string &version)>
            manifest;
};

weight_store httpWeightStore(endpoint address, std::shared_ptr<http_pool> pool,
                             milliseconds callTime);

} // namespace poplarspool::platform
