#pragma once

#include "bench/first_byte.h"

#include <chrono>
#include <cstdint>

namespace poplarspool::bench {

/// Rate at which an instance serves short completions, with a fixed number of connections.
struct throughput
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    double perSecond = 0;
    double perCoreSecond = 0; ///< Requests per second of the instance's CPU time.
};

result<throughput> measureThroughput(const path_target &target, std::uint32_t connections,
                                     std::chrono::seconds time);

/// Memory of an instance with many streams open at the same time.
struct open_streams
{
    std::uint32_t requested = 0;
    std::uint32_t open = 0; ///< Open when the memory was read.
    std::uint32_t whole = 0;
    std::uint64_t beforeKb = 0; ///< Resident memory before the first stream.
    std::uint64_t openKb = 0; ///< Resident memory with the streams open.
};

result<open_streams> measureStreams(const path_target &target, std::uint32_t streams,
                                    std::uint32_t tokens);

figures figuresOf(const throughput &measured);
figures figuresOf(const open_streams &measured);

} // namespace poplarspool::bench
