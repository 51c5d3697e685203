#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/scaling/fleet_plan.h"

#include <functional>

namespace poplarspool::gateway {

/// The platform, as far as orders of runners need it.
struct fleet_sink
{
    /// Gives one order in the holder's name. Nothing leaves once the term is over.
    /// @returns Conflict where none of that kind are to be had there for now.
    std::function<result<unit>(const scaling::given_order &order, const duties::lease_term &term)>
            give;
};

} // namespace poplarspool::gateway
