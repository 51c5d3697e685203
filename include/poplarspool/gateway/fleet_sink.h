#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/scaling/fleet_plan.h"

#include <functional>

namespace poplarspool::gateway {

/// Interface to the platform for ordering runners.
struct fleet_sink
{
    /// Places one order on behalf of the lease holder. Nothing is sent after the lease term has
    /// ended.
    /// @returns Conflict if the zone currently has no capacity of the requested kind.
    std::function<result<unit>(const scaling::issued_order &order, const duties::lease_term &term)>
            placeOrder;
};

} // namespace poplarspool::gateway
