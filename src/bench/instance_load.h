#pragma once

#include "bench/first_byte.h"

#include <chrono>
#include <cstdint>

namespace poplarspool::bench {

/// Short completions, as many as an instance serves.
struct throughput
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    double perSecond = 0;
    double perCoreSecond = 0; ///< Requests per second of the instance's processor time.
};

result<throughput> measureThroughput(const path_target &target, std::uint32_t connections,
                                     std::chrono::seconds time);

/// Many streams open in one instance at the same time.
struct open_streams
{
    std::uint32_t wanted = 0;
    std::uint32_t open = 0; ///< At the same time, when the memory was read.
    std::uint32_t whole = 0;
    std::uint64_t beforeKb = 0; ///< Resident before the first stream.
    std::uint64_t openKb = 0;
};

result<open_streams> measureStreams(const path_target &target, std::uint32_t streams,
                                    std::uint32_t tokens);

figures figuresOf(const throughput &measured);
figures figuresOf(const open_streams &measured);

} // namespace poplarspool::bench
