#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"

#include <atomic>
#include <cstdint>

namespace poplarspool::policy {

/// Limits retries to a share of the requests, so that failures don't multiply the load. Thread-safe
/// and lock-free.
class retry_budget
{
public:
    /// @param share Retries per request.
    /// @param burst Maximum number of retries that can accumulate.
    retry_budget(double share, double burst);
    void onRequest();
    /// As onRequest(), with the share from the rules in force.
    void onRequest(double share);
    /// Takes a retry from the budget.
    /// @returns False if the budget does not allow one now.
    bool tryTake();
    /// @returns Whether the budget is not overdrawn.
    bool hasRoom() const;
    /// Deducts a retry that was already made; may overdraw the budget.
    void takeUnconditionally();

private:
    void add(std::int64_t amount);

    std::int64_t perRequest; ///< In thousandths of a retry.
    std::int64_t maxBalance;
    std::atomic<std::int64_t> balance;
};

/// @param triesMade Number of tries, including the first one.
/// @returns Whether a request with this failure may be tried on another runner, regardless of the
///          budget. A request that isn't repeatable may be only if it certainly has not run.
bool mayRetry(const error &failure, bool isRepeatable, std::uint32_t triesMade,
              milliseconds timeLeft);

} // namespace poplarspool::policy
