#pragma once

#include "bench/load_call.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarspool::bench {

/// Runs by idempotency key, over all services.
using run_counts = std::map<std::string, std::uint64_t>;

/// @returns What the stand-in services have run, by their own records.
result<run_counts> fetchRecords(const std::vector<endpoint> &services, http_pool &pool);

/// How the calls with a key ended for their callers.
using key_ends = std::map<std::string, call_end>;

struct record_faults
{
    std::uint64_t doubled = 0; ///< Runs of a key beyond its first.
    std::uint64_t lost = 0; ///< Keys answered whole that no service has run.
    std::uint64_t falseNotRun = 0; ///< Keys refused as not run that a service has run.

    bool operator==(const record_faults &) const = default;
};

record_faults compareRecords(const run_counts &runs, const key_ends &ends);

} // namespace poplarspool::bench
