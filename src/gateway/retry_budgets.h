#pragma once

#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/policy/retry.h"

#include <map>
#include <mutex>

namespace poplarspool::gateway {

/// Limits of the sends beyond the first send of each request, for the whole fleet, per service and
/// time window.
struct retry_bounds
{
    double share = 0; ///< Of the requests.
    double extra = 0; ///< In addition to the share, for all instances together.

    bool operator==(const retry_bounds &) const = default;
};

/// This instance's part of the fleet's retry budget. It needs no coordination: each instance
/// spends the share of its own requests and an equal part of the extra.
class retry_budgets
{
public:
    explicit retry_budgets(retry_bounds bounds);

    /// @param count Instances that share the budget, including this one.
    void setInstances(std::size_t count);
    void onRequest(const service_id &service);
    /// @returns Whether another send may be made now. If so, it is deducted from the budget.
    bool tryTake(const service_id &service);
    /// @returns Whether a send may be made that may turn out to be an extra one.
    bool hasRoom(const service_id &service);
    /// Deducts a send that has turned out to be an extra one.
    void takeUnconditionally(const service_id &service);

private:
    policy::retry_budget &budgetOf(const service_id &service);

    const retry_bounds bounds;
    std::mutex guard;
    std::size_t instances = 1;
    std::map<service_id, std::unique_ptr<policy::retry_budget>> budgets;
};

} // namespace poplarspool::gateway
