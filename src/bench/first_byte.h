#pragma once

#include "bench/sample_stats.h"
#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <string>

namespace poplarspool::bench {

/// One instance and the engine behind it.
struct path_target
{
    endpoint instance;
    endpoint engine;
    std::int64_t instancePid = 0;
    std::string model;
};

/// Times to the first token, both ways.
struct first_byte_times
{
    durations through;
    durations straight;
};

/// Sends pairs of one request through the instance and one straight to the engine, in turn and one
/// at a time, so that both meet the same machine.
result<first_byte_times> measureFirstByte(const path_target &target, std::uint32_t pairs);

figures figuresOf(const first_byte_times &times);

} // namespace poplarspool::bench
