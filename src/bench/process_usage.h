#pragma once

#include "poplarspool/base/result.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace poplarspool::bench {

/// Resources that a process has used, as the kernel reports them.
struct process_usage
{
    std::chrono::nanoseconds cpuTime{0}; ///< User and system time of all threads.
    std::uint64_t residentKb = 0;

    bool operator==(const process_usage &) const = default;
};

/// @param stat Contents of /proc/PID/stat.
/// @param ticksPerSecond Clock ticks per second (`_SC_CLK_TCK`), the unit of its times.
result<std::chrono::nanoseconds> parseCpuTime(std::string_view stat, std::int64_t ticksPerSecond);

/// @param status Contents of /proc/PID/status.
result<std::uint64_t> parseResidentKb(std::string_view status);

result<process_usage> readProcessUsage(std::int64_t pid);

} // namespace poplarspool::bench
