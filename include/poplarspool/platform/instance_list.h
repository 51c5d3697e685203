#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"

#include <functional>
#include <memory>
#include <vector>

namespace poplarspool::platform {

/// An entry of the platform's instance list, which is eventually consistent.
struct listed_instance
{
    instance_id id;
    zone_id zone;
    endpoint peerAddress;
    bool isLeaving = false;

    bool operator==(const listed_instance &) const = default;
};

/// Interface to the platform's instance list.
struct instance_list
{
    std::function<result<std::vector<listed_instance>>()> fetch;
};

/// @returns A client that reads the list as JSON over HTTP.
/// @param callTimeout Time limit of one call.
instance_list httpInstanceList(endpoint address, std::shared_ptr<http_pool> pool,
                               milliseconds callTimeout);

} // namespace poplarspool::platform
