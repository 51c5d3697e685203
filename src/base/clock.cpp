#include "poplarspool/base/clock.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace poplarspool {

namespace {

// CLOCK_MONOTONIC stops while the machine is suspended. With it, the holder of a lease would resume
// and still rely on a lease that has expired for all others. CLOCK_BOOTTIME includes that time.
mono_time monoNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return mono_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

wall_time wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace

clock_source systemClock()
{
    return clock_source{monoNow, wallNow};
}

std::string millisecondsText(std::chrono::nanoseconds time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::string secondsText(milliseconds time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / 1000);
    return text.data();
}

} // namespace poplarspool
