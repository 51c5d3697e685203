#include "platform/call_gate.h"

#include <algorithm>

namespace poplarspool::platform {

namespace {

/// Doublings beyond which the back-off stands at its bound anyway.
constexpr std::uint32_t maxDoublings = 16;

/// Rounded up, so that a caller that waits so long is not sent away again.
milliseconds roundedUp(std::chrono::duration<double> time)
{
    return std::chrono::ceil<milliseconds>(time);
}

} // namespace

call_gate::call_gate(const object_store::limits &bounds, clock_source clock)
    : bounds(bounds), clock(std::move(clock)), tokens(bounds.burst), refilledAt(this->clock.mono()),
      closedUntil(refilledAt), random(std::random_device{}())
{ }

void call_gate::refill(mono_time now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt;
    refilledAt = now;
    tokens = std::min(bounds.burst, tokens + elapsed.count() * bounds.callsPerSecond);
}

std::optional<error> call_gate::backoffRefusal(mono_time now) const
{
    if (now >= closedUntil)
        return std::nullopt;
    return notRun(error_code::Unavailable, "store is failing: backing off",
                  roundedUp(closedUntil - now));
}

std::optional<error> call_gate::budgetRefusal() const
{
    if (tokens >= 1.0)
        return std::nullopt;
    const std::chrono::duration<double> wait((1.0 - tokens) / bounds.callsPerSecond);
    return notRun(error_code::Throttled, "budget of store calls is used up", roundedUp(wait));
}

result<call_gate::pass> call_gate::enter()
{
    {
        const std::lock_guard guard(lock);
        if (auto refused = backoffRefusal(clock.mono()))
            return *refused;
    }
    return enterAfterWait();
}

result<call_gate::pass> call_gate::enterAfterWait()
{
    const std::lock_guard guard(lock);
    refill(clock.mono());
    if (auto refused = budgetRefusal())
        return *refused;
    tokens -= 1.0;
    return pass{epoch};
}

milliseconds call_gate::timeLeft()
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

bool call_gate::onAnswer()
{
    const std::lock_guard guard(lock);
    const bool wasFailing = failures > 0;
    failures = 0;
    closedUntil = refilledAt;
    return wasFailing;
}

// Full jitter: instances that saw the same outage begin must not all come back at the same moments,
// which would bring a store that is just recovering down again.
milliseconds call_gate::drawBackoff(std::optional<milliseconds> askedWait)
{
    const auto doublings = std::min(failures, maxDoublings);
    const auto ceiling = std::min(bounds.backoffMax, bounds.backoffFirst * (1 << doublings));
    std::uniform_int_distribution<milliseconds::rep> draw(0, ceiling.count());
    return milliseconds(draw(random)) + askedWait.value_or(milliseconds(0));
}

bool call_gate::onFailure(const pass &entered, std::optional<milliseconds> askedWait)
{
    const std::lock_guard guard(lock);
    // Calls that were under way together fail together: one outage must not count once per thread,
    // or a short one would close the store for the longest back-off.
    if (entered.epoch != epoch)
        return false;
    const bool isFirst = failures == 0;
    closedUntil = clock.mono() + drawBackoff(askedWait);
    ++failures;
    ++epoch;
    return isFirst;
}

} // namespace poplarspool::platform
