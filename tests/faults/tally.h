#pragma once

#include "faults/caller.h"
#include "faults/fleet.h"

#include <string>

namespace poplarspool::faults {

/// What a scenario shows. The last four must be 0.
struct tally
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t notRun = 0; ///< Answers "not run", those of tries that were repeated too.
    std::uint64_t mayHaveRun = 0;
    std::uint64_t doubled = 0; ///< Runs of a key beyond its first; answers with a token twice.
    std::uint64_t cut = 0; ///< Looked whole and were not; cut by an order; wrong ones too.
    std::uint64_t falseNotRun = 0;
    /// Orders with an old fence that an engine obeyed, two wanted states under one fence, and
    /// orders obeyed before the one before them was done.
    std::uint64_t staleOrders = 0;

    bool isClean() const { return doubled + cut + falseNotRun + staleOrders == 0; }
};

/// Whether only planned changes took place, so that no answer may be broken off either.
enum class disturbance { Planned, Failures };

/// Counts by the callers' answers and the records of the stand-ins.
tally countOf(fleet &site, const std::vector<call_record> &calls, disturbance met);

/// @returns `scenario=NAME requests=N … stale_orders=N point=K`
std::string lineOf(const std::string &scenario, int point, const tally &counts);

} // namespace poplarspool::faults
