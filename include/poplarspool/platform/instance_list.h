#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"

#include <functional>
#include <memory>
#include <vector>

namespace poplarspool::platform {

/// One line of the platform's list of instances. The list lags.
struct listed_instance
{
    instance_id id;
    zone_id zone;
    endpoint peerAddress;
    bool isLeaving = false;

    bool operator==(const listed_instance &) const = default;
};

/// The seam to the instance list.
struct instance_list
{
    std::function<result<std::vector<listed_instance>>()> fetch;
};

instance_list httpInstanceList(endpoint address, std::shared_ptr<http_pool> pool,
                               milliseconds callTime);

} // namespace poplarspool::platform
