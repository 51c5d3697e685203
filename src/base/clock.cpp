#include "poplarspool/base/clock.h"

#include <ctime>

namespace poplarspool {

namespace {

// A lease counted on CLOCK_MONOTONIC stands still while the machine is suspended: the holder wakes
// and still believes in an authority that lapsed for everyone else. CLOCK_BOOTTIME counts on.
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

} // namespace poplarspool
