#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace poplarspool {

/// Monotonic time that includes the time while the machine is suspended (CLOCK_BOOTTIME).
using mono_time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;
using milliseconds = std::chrono::milliseconds;

/// Clocks used by a component. Tests supply their own.
struct clock_source
{
    std::function<mono_time()> mono;
    std::function<wall_time()> wall;
};

/// @returns The system's clocks.
clock_source systemClock();

/// @returns Whole milliseconds as text, for a field of a log line.
std::string millisecondsText(std::chrono::nanoseconds time);

/// @returns Seconds with three decimals as text, for a Retry-After header.
std::string secondsText(milliseconds time);

} // namespace poplarspool
