#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/duties/fleet_clock.h"
#include "poplarspool/duties/usage.h"

#include <string>
#include <string_view>

namespace poplarspool::duties {

/// What instances tell each other of usage and of the time.
struct usage_news
{
    wall_time toldAt{}; ///< By the sender's own time of day.
    fleet_time heard; ///< What it makes of the clocks that it hears.
    bool isLast = false; ///< The sender ends, and has told all that it counted.
    told_usage usage; ///< Names the sender's life, also where nothing is counted.

    bool operator==(const usage_news &) const = default;
};

/// @returns TooLarge where a bound is broken.
result<std::string> encode(const usage_news &news);
result<usage_news> decodeUsageNews(std::string_view payload);

} // namespace poplarspool::duties
