#include "platform/call_limiter.h"

#include <algorithm>

namespace poplarspool::platform {

namespace {

/// After this many doublings the back-off has reached its maximum in any case.
constexpr std::uint32_t maxDoublings = 16;

/// Rounds up, so that a call made after this wait is not refused again.
milliseconds roundedUp(std::chrono::duration<double> time)
{
    return std::chrono::ceil<milliseconds>(time);
}

} // namespace

call_limiter::call_limiter(const object_store::limits &bounds, clock_source clock)
    : bounds(bounds), clock(std::move(clock)), tokens(bounds.burst),
      lastRefillAt(this->clock.mono()), backoffUntil(lastRefillAt), random(std::random_device{}())
{ }

void call_limiter::refill(mono_time now)
{
    const std::chrono::duration<double> elapsed = now - lastRefillAt;
    lastRefillAt = now;
    tokens = std::min(bounds.burst, tokens + elapsed.count() * bounds.callsPerSecond);
}

std::optional<error> call_limiter::backoffRefusal(mono_time now) const
{
    if (now >= backoffUntil)
        return std::nullopt;
    return notRun(error_code::Unavailable, "object store is failing: call refused during back-off",
                  roundedUp(backoffUntil - now));
}

std::optional<error> call_limiter::budgetRefusal() const
{
    if (tokens >= 1.0)
        return std::nullopt;
    const std::chrono::duration<double> wait((1.0 - tokens) / bounds.callsPerSecond);
    return notRun(error_code::Throttled, "call budget of the object store is exhausted",
                  roundedUp(wait));
}

result<call_limiter::permit> call_limiter::tryAcquire()
{
    {
        const std::lock_guard guard(lock);
        if (auto refused = backoffRefusal(clock.mono()))
            return *refused;
    }
    return tryAcquireAfterWait();
}

result<call_limiter::permit> call_limiter::tryAcquireAfterWait()
{
    const std::lock_guard guard(lock);
    refill(clock.mono());
    if (auto refused = budgetRefusal())
        return *refused;
    tokens -= 1.0;
    return permit{backoffEpoch};
}

milliseconds call_limiter::timeUntilAllowed()
{
    const std::lock_guard guard(lock);
    const mono_time now = clock.mono();
    refill(now);
    for (const auto &refused : {backoffRefusal(now), budgetRefusal()}) {
        if (refused)
            return refused->retryAfter.value_or(milliseconds(0));
    }
    return milliseconds(0);
}

bool call_limiter::onAnswer()
{
    const std::lock_guard guard(lock);
    const bool wasFailing = consecutiveFailures > 0;
    consecutiveFailures = 0;
    backoffUntil = lastRefillAt;
    return wasFailing;
}

/// Full jitter: instances that saw the same outage start must not all retry at the same moments,
/// which would overload a store that is just recovering.
milliseconds call_limiter::drawBackoff(std::optional<milliseconds> requestedWait)
{
    const auto doublings = std::min(consecutiveFailures, maxDoublings);
    const auto ceiling = std::min(bounds.maxBackoff, bounds.initialBackoff * (1 << doublings));
    std::uniform_int_distribution<milliseconds::rep> draw(0, ceiling.count());
    return milliseconds(draw(random)) + requestedWait.value_or(milliseconds(0));
}

bool call_limiter::onFailure(const permit &granted, std::optional<milliseconds> requestedWait)
{
    const std::lock_guard guard(lock);
    // Concurrent calls fail together. An outage must not count once per thread, or a short one
    // would lead to the maximum back-off.
    if (granted.backoffEpoch != backoffEpoch)
        return false;
    const bool isFirst = consecutiveFailures == 0;
    backoffUntil = clock.mono() + drawBackoff(requestedWait);
    ++consecutiveFailures;
    ++backoffEpoch;
    return isFirst;
}

} // namespace poplarspool::platform
