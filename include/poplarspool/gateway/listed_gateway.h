#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/gateway/entry_filter.h"

#include <vector>

namespace poplarspool::gateway {

/// Another instance, as registered in the store.
struct listed_gateway
{
    instance_id id;
    endpoint peerAddress; ///< Gossip.
    endpoint loadAddress; ///< Load updates.
    zone_id zone;
    endpoint updateAddress; ///< Store updates; invalid if the instance receives none.
    /// Runners that it knew to have left when the store listed them as in service.
    std::vector<outdated_entry_marker> outdated;

    bool operator==(const listed_gateway &) const = default;
};

} // namespace poplarspool::gateway
