#pragma once

#include "standin/platform.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace poplarspool::standin {

/// Applies the current fault to calls. Thread-safe.
class fault_injector
{
public:
    void set(const platform_fault_setting &next);
    bool isOutage() const;
    /// Delays a call if the fault is Slow. A change of the fault or shutDown() ends the delay.
    void delay();
    /// @returns Whether the reply of this write must be lost; decrements the count if so.
    bool takeLostAnswer();
    void shutDown();

private:
    mutable std::mutex lock;
    std::condition_variable changed;
    platform_fault_setting setting;
    bool isEnding = false;
};

/// Rate limit of the weight store: a token bucket that holds the calls of one second, at least one
/// call.
class rate_limit
{
public:
    explicit rate_limit(double perSecond);

    bool tryTake();
    /// @returns Seconds until the next call is allowed, rounded up, at least 1; for Retry-After.
    std::uint32_t secondsLeft();

private:
    using clock_type = std::chrono::steady_clock;
    void refill();

    const double perSecond;
    std::mutex lock;
    double tokens;
    clock_type::time_point refilledAt = clock_type::now();
};

} // namespace poplarspool::standin
