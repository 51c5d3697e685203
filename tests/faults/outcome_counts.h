#pragma once

#include "faults/caller.h"
#include "faults/test_fleet.h"

#include <string>

namespace poplarspool::faults {

/// The counts that a scenario prints. The last four must be 0.
struct outcome_counts
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t notRun = 0; ///< "Not run" answers, including those to retried attempts.
    std::uint64_t mayHaveRun = 0;
    /// Repeated runs of an idempotency key, and answers in which a token came twice.
    std::uint64_t doubled = 0;
    /// Answers marked as complete although tokens are missing, streams cut by an order, and wrong
    /// answers; with disruption::Planned also answers that broke off.
    std::uint64_t cut = 0;
    /// "Not run" answers to requests that an engine or a service had begun.
    std::uint64_t falseNotRun = 0;
    /// Orders with an outdated fence that an engine applied, different requested states under the
    /// same fence, and orders applied before the previous one was done.
    std::uint64_t staleOrders = 0;

    bool hasNoViolations() const { return doubled + cut + falseNotRun + staleOrders == 0; }
};

/// Whether a scenario injects failures. With planned changes alone, no answer may break off.
enum class disruption { Planned, Failures };

/// Evaluates the callers' answers and the records of the stand-ins.
outcome_counts countOutcomes(test_fleet &fleet, const std::vector<call_record> &calls,
                             disruption allowed);

/// @returns `scenario=NAME requests=N … stale_orders=N point=K`
std::string formatResultLine(const std::string &scenario, int guarantee,
                             const outcome_counts &counts);

} // namespace poplarspool::faults
