#pragma once

#include "bench/sample_stats.h"
#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <string>

namespace poplarspool::bench {

/// An instance and the only engine behind it.
struct path_target
{
    endpoint instance;
    endpoint engine;
    std::int64_t instancePid = 0;
    std::string model;
};

/// Times to the first token.
struct first_byte_times
{
    durations viaInstance; ///< Through the instance.
    durations direct; ///< Sent to the engine itself.
};

/// Sends pairs of one request through the instance and one directly to the engine. The two
/// alternate and never overlap, so that both are measured under the same conditions of the machine.
result<first_byte_times> measureFirstByte(const path_target &target, std::uint32_t pairs);

figures figuresOf(const first_byte_times &times);

} // namespace poplarspool::bench
