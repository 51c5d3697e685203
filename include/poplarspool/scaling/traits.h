#pragma once

#include "poplarspool/base/clock.h"

#include <cstdint>

namespace poplarspool::scaling {

/// Properties of a service whose runners can be ordered.
struct fleet_traits
{
    std::uint32_t minRunners = 0; ///< Per zone, both kinds together.
    std::uint32_t maxRunners = 0;
    milliseconds bootTime{0}; ///< Time from an order until its runners are in service.
    double spotPrice = 1; ///< Relative to a regular runner; 1: no spot runners, or no savings.

    bool operator==(const fleet_traits &) const = default;
};

} // namespace poplarspool::scaling
