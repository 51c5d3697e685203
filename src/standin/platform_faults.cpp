#include "standin/platform_faults.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::standin {

void fault_injector::set(const platform_fault_setting &next)
{
    const std::lock_guard guard(lock);
    setting = next;
    changed.notify_all();
}

bool fault_injector::isOutage() const
{
    const std::lock_guard guard(lock);
    return setting.mode == platform_fault::Outage;
}

void fault_injector::delay()
{
    std::unique_lock guard(lock);
    if (setting.mode != platform_fault::Slow)
        return;
    const platform_fault_setting before = setting;
    changed.wait_for(guard, std::chrono::milliseconds(before.slowMs),
                     [&] { return isEnding || setting != before; });
}

bool fault_injector::takeLostAnswer()
{
    const std::lock_guard guard(lock);
    if (setting.mode != platform_fault::LoseAnswers || setting.count == 0)
        return false;
    --setting.count;
    return true;
}

void fault_injector::shutDown()
{
    const std::lock_guard guard(lock);
    isEnding = true;
    changed.notify_all();
}

rate_limit::rate_limit(double perSecond)
    : perSecond(perSecond), tokens(std::max(1.0, perSecond)) { }

void rate_limit::refill()
{
    const auto now = clock_type::now();
    const std::chrono::duration<double> elapsed = now - refilledAt;
    refilledAt = now;
    tokens = std::min(std::max(1.0, perSecond), tokens + elapsed.count() * perSecond);
}

bool rate_limit::tryTake()
{
    const std::lock_guard guard(lock);
    refill();
    if (tokens < 1.0)
        return false;
    tokens -= 1.0;
    return true;
}

std::uint32_t rate_limit::secondsLeft()
{
    const std::lock_guard guard(lock);
    refill();
    return static_cast<std::uint32_t>(std::ceil(std::max(1.0, (1.0 - tokens) / perSecond)));
}

} // namespace poplarspool::standin
