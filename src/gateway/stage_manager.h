#pragma once

#include "base/connection_pool.h"
#include "gateway/runner_table.h"
#include "poplarspool/base/periodic_thread.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/dialect.h"
#include "poplarspool/gateway/stage_plan.h"
#include "poplarspool/withdrawals/withdrawal_registry.h"

#include <map>

namespace poplarspool::gateway {

/// What the stage manager needs from its instance.
struct stage_manager_dependencies
{
    const catalogue_publisher &publisher;
    runner_table &runnerTable;
    connection_pool &connections;
    const dialect &names;
    const clock_source clock;
    journal &events;
    counter &orders;
    const step_failure_reporter faults;
    /// Whether this instance is responsible for planning. For a short time, this may be true on two
    /// instances; the lease ensures that only one of them acts.
    std::function<bool()> isOwner;
    /// Number of instances that send requests to the engines.
    std::function<std::size_t()> instanceCount;
    /// @returns The rate limit of an engine, in requests per second; none if it has none.
    std::function<std::optional<double>(const runner &)> limitOf = {};
    /// @returns Whether the engine wants requests.
    std::function<withdrawals::withdrawal(const runner &)> withdrawalOf = {};
    /// Called with the head of each answer of an engine.
    std::function<void(const withdrawals::answer_head &)> onAnswer = {};
};

/// Periodically plans the stages of all engines and orders engines to change stage, on a thread of
/// its own.
class stage_manager
{
public:
    stage_manager(stage_manager_dependencies given, duties::lease_store store, instance_id self,
                  milliseconds leaseBound);

    void start() { thread.start(); }
    void requestStop() { thread.requestStop(); }
    void stop() { thread.stop(); }

    /// Runs one iteration: plans, and sends the resulting orders. Called by the manager's thread
    /// and by tests.
    void runOnce();

private:
    /// An order that the engine has taken, or may have taken.
    struct pending_order
    {
        engine_stage wanted = engine_stage::None;
        mono_time orderedAt{};
        std::uint64_t startedAtMs = 0; ///< Identifies the incarnation that was ordered.
    };

    bool isFleetSettled(const catalogue &known);
    void planService(const catalogue &known, const service &engines);
    std::vector<stage_engine> enginesOf(const catalogue &known, const service &engines);
    bool isLimited(const runner &target, const runner_use &use, const engine_traits &traits) const;
    void forgetSettledOrders(const catalogue &known);
    result<http_reply> call(const runner &target, const http_request &request, milliseconds timeout,
                            const std::function<bool()> &check = {});
    void skipOrder(const runner &target, std::string_view reason);
    void placeOrder(const catalogue &known, const stage_change &change,
                    const duties::lease_term &term);

    const stage_manager_dependencies dependencies;
    const instance_id self;
    duties::duty_lease lease;
    std::map<runner_id, pending_order> pendingOrders;
    std::map<service_id, stage_plan_state> planStates;
    std::size_t servingCount = 0;
    mono_time changedAt{}; ///< When the number of runners in service last changed.
    periodic_thread thread; ///< Declared last: stops before the members it uses are destroyed.
};

} // namespace poplarspool::gateway
