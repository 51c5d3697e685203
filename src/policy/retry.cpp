#include "poplarspool/policy/retry.h"
#include "poplarspool/policy/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::policy {

namespace {

constexpr std::int64_t oneRetry = 1000; ///< The budget counts thousandths of a retry.

std::int64_t thousandthsOf(double retries)
{
    return std::llround(std::max(retries, 0.0) * static_cast<double>(oneRetry));
}

/// @returns Whether another runner may succeed after this failure.
bool maySucceedElsewhere(error_code code)
{
    switch (code) {
    case error_code::Overloaded:
    case error_code::Throttled:
    case error_code::TimedOut:
    case error_code::Unavailable:
    case error_code::Broken:
    case error_code::Stale:
        return true;
    default:
        return false;
    }
}

} // namespace

retry_budget::retry_budget(double share, double burst)
    : perRequest(thousandthsOf(share)), maxBalance(thousandthsOf(burst)), balance(maxBalance)
{ }

void retry_budget::onRequest()
{
    add(perRequest);
}

void retry_budget::onRequest(double share)
{
    add(thousandthsOf(share));
}

void retry_budget::add(std::int64_t amount)
{
    std::int64_t now = balance.load(std::memory_order_relaxed);
    std::int64_t next = std::min(now + amount, maxBalance);
    while (next != now && !balance.compare_exchange_weak(now, next, std::memory_order_relaxed))
        next = std::min(now + amount, maxBalance);
}

bool retry_budget::tryTake()
{
    std::int64_t now = balance.load(std::memory_order_relaxed);
    while (now >= oneRetry)
        if (balance.compare_exchange_weak(now, now - oneRetry, std::memory_order_relaxed))
            return true;
    return false;
}

bool retry_budget::hasRoom() const
{
    return balance.load(std::memory_order_relaxed) >= 0;
}

void retry_budget::takeUnconditionally()
{
    balance.fetch_sub(oneRetry, std::memory_order_relaxed);
}

bool mayRetry(const error &failure, bool isRepeatable, std::uint32_t triesMade,
              milliseconds timeLeft)
{
    if (timeLeft <= milliseconds::zero() || triesMade >= config::maxTries)
        return false;
    if (!maySucceedElsewhere(failure.code))
        return false;
    return failure.ran == verdict::NotRun || isRepeatable;
}

} // namespace poplarspool::policy
