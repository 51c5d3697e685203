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
    std::vector<endpoint> ask; ///< Instances known from the start.
    std::vector<endpoint> records; ///< Stand-in services, compared with in the end.
    caller_identity who; ///< Its name is the prefix of all callers' names.
    std::uint32_t callers = 8; ///< Each with its own kept addresses.
    std::uint32_t streams = 8; ///< Open at the same time, at most.
    double rate = 0; ///< Requests a second; 0: each stream sends the next when one has ended.
    std::uint64_t requests = 0; ///< 0: no bound.
    std::chrono::nanoseconds time{0}; ///< 0: no bound.
    std::string whileFile; ///< Sends only while this file is there; empty: no bound.
};

/// How many requests ended in what, and how long whole ones took to their first byte.
struct load_summary
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t notRun = 0; ///< "not run" answers, those of tries that were repeated too.
    std::uint64_t mayHaveRun = 0;
    std::uint64_t doubled = 0; ///< Tokens repeated, or runs of one key beyond the first.
    std::uint64_t cut = 0;
    std::uint64_t wrong = 0;
    /// Keys that the caller was told were not run and a service has run; none where not compared.
    std::uint64_t falseNotRun = 0;
    durations firstBytes;
    std::chrono::nanoseconds elapsed{0};
    std::vector<std::string> details; ///< The first few failures.

    /// @returns Whether no promise to callers was broken.
    bool isClean() const { return doubled == 0 && cut == 0 && wrong == 0 && falseNotRun == 0; }
};

/// Sends the load and waits for its last answer.
load_summary runLoad(const load_options &options);

figures figuresOf(const load_summary &summary);

} // namespace poplarspool::bench
