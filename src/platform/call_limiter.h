#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"
#include "poplarspool/platform/object_store.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

/// Limits calls to the store: a token bucket enforces the call budget, and failures start a
/// back-off. Never blocks.
namespace poplarspool::platform {

class call_limiter
{
public:
    /// Issued for an admitted call and passed back with its outcome.
    struct permit
    {
        std::uint64_t backoffEpoch = 0;
    };

    call_limiter(const object_store::limits &bounds, clock_source clock);

    /// @returns Throttled if the budget is exhausted, Unavailable during a back-off; both NotRun
    ///          with retryAfter.
    result<permit> tryAcquire();
    /// Like tryAcquire(), but ignores the back-off. For use after a wait of timeUntilAllowed().
    result<permit> tryAcquireAfterWait();
    /// @returns Whether this answer ends a series of failures.
    bool onAnswer();
    /// @param requestedWait The wait that the store itself requested.
    /// @returns Whether this is the first failure since the last answer.
    bool onFailure(const permit &granted, std::optional<milliseconds> requestedWait);
    /// @returns Time until a call may be admitted.
    milliseconds timeUntilAllowed();

private:
    void refill(mono_time now);
    std::optional<error> backoffRefusal(mono_time now) const;
    std::optional<error> budgetRefusal() const;
    milliseconds drawBackoff(std::optional<milliseconds> requestedWait);

    const object_store::limits bounds;
    const clock_source clock;
    std::mutex lock;
    double tokens;
    mono_time lastRefillAt;
    std::uint64_t backoffEpoch = 0; ///< Incremented with each back-off.
    std::uint32_t consecutiveFailures = 0;
    mono_time backoffUntil;
    std::mt19937_64 random;
};

} // namespace poplarspool::platform
