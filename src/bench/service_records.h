#pragma once

#include "bench/load_call.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarspool::bench {

/// Number of runs by idempotency key, over all services.
using run_counts = std::map<std::string, std::uint64_t>;

/// Fetches the run counts that the stand-in services have recorded.
result<run_counts> fetchRecords(const std::vector<endpoint> &services, http_pool &pool);

/// Outcome of each call with an idempotency key, as its caller saw it.
using key_outcomes = std::map<std::string, call_end>;

struct record_faults
{
    std::uint64_t doubled = 0; ///< Runs of a key beyond its first.
    std::uint64_t lost = 0; ///< Keys with a complete answer that no service ran.
    std::uint64_t falseNotRun = 0; ///< Keys refused as "not run" that a service ran.

    bool operator==(const record_faults &) const = default;
};

/// Compares the outcomes that callers saw with the recorded runs.
record_faults compareRecords(const run_counts &runs, const key_outcomes &ends);

} // namespace poplarspool::bench
