#pragma once

#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/policy/retry.h"

#include <map>
#include <mutex>

namespace poplarspool::gateway {

/// What the whole fleet of instances may send beyond the first send of each request, per service
/// and window of time.
struct retry_bounds
{
    double share = 0; ///< Of the requests.
    double extra = 0; ///< Beside that, for all instances together.

    bool operator==(const retry_bounds &) const = default;
};

/// This instance's part of the fleet's budget. Nobody is asked: each instance spends its own share
/// of its own requests, and an equal part of the extra.
class retry_budgets
{
public:
    explicit retry_budgets(retry_bounds bounds);

    /// @param count Instances that share the budget, this one among them.
    void setInstances(std::size_t count);
    void onRequest(const service_id &service);
    /// @returns Whether another send may be made now; takes it off the budget.
    bool tryTake(const service_id &service);
    /// @returns Whether a send that may turn out to be an extra one may be made.
    bool hasRoom(const service_id &service);
    /// A send has turned out to be an extra one.
    void takeAnyway(const service_id &service);

private:
    policy::retry_budget &budgetOf(const service_id &service);

    const retry_bounds bounds;
    std::mutex guard;
    std::size_t instances = 1;
    std::map<service_id, std::unique_ptr<policy::retry_budget>> budgets;
};

} // namespace poplarspool::gateway
