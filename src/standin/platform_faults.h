#pragma once

#include "standin/platform.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace poplarspool::standin {

/// The fault that is set now, and what it does to one call.
class fault_switch
{
public:
    void set(const platform_fault_setting &next);
    bool isOut() const;
    /// Delays a call as the fault says; a change of the fault or end() cuts it short.
    void delay();
    /// @returns Whether this write's answer is to be lost; uses up one of the count.
    bool takesAnswer();
    void end();

private:
    mutable std::mutex lock;
    std::condition_variable changed;
    platform_fault_setting setting;
    bool isEnding = false;
};

/// Rate limit of the weight store: a token bucket of one second's worth.
class rate_limit
{
public:
    explicit rate_limit(double perSecond);

    bool take();
    /// @returns Whole seconds until the next call is allowed, for Retry-After.
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
