#pragma once

#include "bench/load_plan.h"
#include "bench/sample_stats.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::bench {

struct load_options
{
    load_plan plan;
    std::vector<endpoint> seeds; ///< Instances to fetch the addresses from.
    std::vector<endpoint> records; ///< Stand-in services whose records are compared at the end.
    caller_identity identity; ///< Its name is the prefix of all caller names.
    std::uint32_t callers = 8; ///< Each has its own cached addresses.
    std::uint32_t streams = 8; ///< Maximum number of concurrent requests.
    double rate = 0; ///< Requests per second; 0: a stream sends the next when one has ended.
    std::uint64_t requests = 0; ///< 0: unlimited.
    std::chrono::nanoseconds time{0}; ///< 0: unlimited.
    std::string runWhileFile; ///< Sends only while this file exists; empty: unlimited.
};

/// Number of requests by outcome, and the times to the first byte of those that ended whole.
struct load_summary
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t notRun = 0; ///< "Not run" answers, including those to retried attempts.
    std::uint64_t mayHaveRun = 0;
    /// Answers with repeated tokens, and runs of a key beyond its first.
    std::uint64_t doubled = 0;
    std::uint64_t cut = 0;
    /// Wrong answers, keys with a complete answer that no service ran, and 1 if the records could
    /// not be fetched.
    std::uint64_t wrong = 0;
    /// Keys reported as "not run" to the caller although a service ran them; 0 without a
    /// comparison.
    std::uint64_t falseNotRun = 0;
    durations firstBytes;
    std::chrono::nanoseconds elapsed{0};
    std::vector<std::string> details; ///< Messages of the first failures.

    /// @returns Whether every guarantee to callers was kept.
    bool isClean() const { return doubled == 0 && cut == 0 && wrong == 0 && falseNotRun == 0; }
};

/// Sends the load and waits until all requests have ended.
load_summary runLoad(const load_options &options);

figures figuresOf(const load_summary &summary);

} // namespace poplarspool::bench
