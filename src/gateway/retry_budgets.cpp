#include "gateway/retry_budgets.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

retry_budgets::retry_budgets(retry_bounds bounds) : bounds(bounds) { }

/// When the number of instances changes, saved-up budgets are reset: those saved for fewer
/// instances would exceed the fleet's extra.
void retry_budgets::setInstances(std::size_t count)
{
    const std::lock_guard lock(guard);
    const std::size_t next = std::max<std::size_t>(count, 1);
    if (next == instances)
        return;
    instances = next;
    budgets.clear();
}

/// @attention The caller must hold `guard`.
policy::retry_budget &retry_budgets::budgetOf(const service_id &service)
{
    std::unique_ptr<policy::retry_budget> &budget = budgets[service];
    if (!budget) {
        // With a burst below one, no retry could ever be saved up.
        const double part = bounds.extra / static_cast<double>(instances);
        const double burst = std::max(config::retryBudgetUsableShare * part, 1.0);
        budget = std::make_unique<policy::retry_budget>(
                config::retryBudgetUsableShare * bounds.share, burst);
    }
    return *budget;
}

void retry_budgets::onRequest(const service_id &service)
{
    const std::lock_guard lock(guard);
    budgetOf(service).onRequest();
}

bool retry_budgets::tryTake(const service_id &service)
{
    const std::lock_guard lock(guard);
    return budgetOf(service).tryTake();
}

bool retry_budgets::hasRoom(const service_id &service)
{
    const std::lock_guard lock(guard);
    return budgetOf(service).hasRoom();
}

void retry_budgets::takeUnconditionally(const service_id &service)
{
    const std::lock_guard lock(guard);
    budgetOf(service).takeUnconditionally();
}

} // namespace poplarspool::gateway
