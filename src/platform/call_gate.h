#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"
#include "poplarspool/platform/object_store.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

/// Lets calls to the store through: a token bucket for the budget, and back-off after failures.
/// Never waits itself.
namespace poplarspool::platform {

class call_gate
{
public:
    /// Given to a call that was let through, and handed back with its outcome.
    struct pass
    {
        std::uint64_t epoch = 0;
    };

    call_gate(const object_store::limits &bounds, clock_source clock);

    /// @returns Throttled where the budget is used up, Unavailable while backing off; both NotRun
    ///          with retryAfter.
    result<pass> enter();
    /// As enter(), for a caller that has waited for timeLeft() by itself.
    result<pass> enterAfterWait();
    /// @returns Whether the store was backed off from until now.
    bool onAnswer();
    /// @param askedWait What the store itself asked for.
    /// @returns Whether this is the first failure since an answer.
    bool onFailure(const pass &entered, std::optional<milliseconds> askedWait);
    /// @returns Time until a call may be let through.
    milliseconds timeLeft();

private:
    void refill(mono_time now);
    std::optional<error> backoffRefusal(mono_time now) const;
    std::optional<error> budgetRefusal() const;
    milliseconds drawBackoff(std::optional<milliseconds> askedWait);

    const object_store::limits bounds;
    const clock_source clock;
    std::mutex lock;
    double tokens;
    mono_time refilledAt;
    std::uint64_t epoch = 0; ///< Grows with each back-off.
    std::uint32_t failures = 0;
    mono_time closedUntil;
    std::mt19937_64 random;
};

} // namespace poplarspool::platform
