#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/duties/fleet_clock.h"
#include "poplarspool/duties/usage.h"

#include <string>
#include <string_view>

namespace poplarspool::duties {

/// Usage counts and time that instances send to each other.
struct usage_update
{
    wall_time sentAt{}; ///< By the sender's wall clock.
    fleet_time estimate; ///< Of the sender, from the clocks it receives.
    bool isLast = false; ///< The sender is stopping and has sent all its counts.
    incarnation_usage usage; ///< Names the sender's incarnation, even without counts.

    bool operator==(const usage_update &) const = default;
};

/// @returns TooLarge if a size limit is exceeded.
result<std::string> encode(const usage_update &update);
result<usage_update> decodeUsageUpdate(std::string_view payload);

} // namespace poplarspool::duties
