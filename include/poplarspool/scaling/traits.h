#pragma once

#include "poplarspool/base/clock.h"

#include <cstdint>

namespace poplarspool::scaling {

/// Of services whose runners can be ordered.
struct fleet_traits
{
    std::uint32_t least = 0; ///< Runners in a zone, of both kinds together.
    std::uint32_t most = 0;
    milliseconds bootTime{0}; ///< From an order until its runners serve.
    double spotPrice = 1; ///< Against a regular one; 1: there are none, or they save nothing.

    bool operator==(const fleet_traits &) const = default;
};

} // namespace poplarspool::scaling
