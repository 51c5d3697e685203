#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"
#include "poplarspool/config.h"

#include <atomic>
#include <cstdint>

namespace poplarspool::policy {

/// Lets retries be at most a share of requests, so that failures don't multiply the load. Thread
/// safe and free of locks.
class retry_budget
{
public:
    /// @param share Retries per request; @param burst retries saved up at most.
    retry_budget(double share, double burst);
    void onRequest();
    /// As onRequest(), with the share that the rules in force give.
    void onRequest(double share);
    /// @returns Whether a retry may be made now; takes it off the budget.
    bool tryTake();
    /// @returns Whether the budget is not overdrawn.
    bool hasRoom() const;
    /// Takes a retry that has been made already; the budget may be overdrawn by it.
    void takeAnyway();

private:
    void add(std::int64_t amount);

    std::int64_t perRequest; ///< In thousandths of a retry.
    std::int64_t most;
    std::atomic<std::int64_t> saved;
};

/// @param triesMade The first among them.
/// @returns Whether a request that failed so may be tried elsewhere at all, budget aside: a
///          repeatable one always, another one only where it truly has not run.
bool mayRetry(const error &failure, bool isRepeatable, std::uint32_t triesMade,
              milliseconds timeLeft);

} // namespace poplarspool::policy
