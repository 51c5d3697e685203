#include "gateway/stage_manager.h"

#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

stage_manager::stage_manager(stage_manager_dependencies given, duties::lease_store store,
                             instance_id self, milliseconds leaseBound)
    : dependencies(std::move(given)), self(std::move(self)),
      lease(std::move(store), this->self, leaseBound, this->dependencies.clock,
            this->dependencies.events),
      thread("stages", config::stageInterval, this->dependencies.faults, [this] { runOnce(); })
{ }

/// While a fleet starts, its runners register one after the other, and a split of the first few
/// would differ from that of all. Draining runners are not counted. In a large fleet some runner
/// joins or leaves every second, which must not hold up the plan.
bool stage_manager::isFleetSettled(const catalogue &known)
{
    const mono_time now = dependencies.clock.mono();
    const std::size_t serving = known.runners->servingCount();
    const std::size_t difference =
            std::max(serving, servingCount) - std::min(serving, servingCount);
    if (difference > serving / config::settledFleetDivisor || changedAt == mono_time{}) {
        servingCount = serving;
        changedAt = now;
    }
    return now - changedAt >= config::stageSettleTime;
}

void stage_manager::runOnce()
{
    const auto known = dependencies.publisher.current();
    const bool isSettled = isFleetSettled(*known);
    if (!known->table || !known->areRunnersKnown || !dependencies.isOwner()) {
        planStates.clear();
        return;
    }
    forgetSettledOrders(*known);
    if (!isSettled)
        return;
    for (const service &one : known->table->services) {
        if (one.engine)
            planService(*known, one);
    }
}

/// An order is complete when the engine's entry has the ordered stage, or when the engine has
/// restarted. An order that was lost is discarded after a timeout, so that it can be sent again.
void stage_manager::forgetSettledOrders(const catalogue &known)
{
    const mono_time now = dependencies.clock.mono();
    std::erase_if(pendingOrders, [&](const auto &entry) {
        const runner_entry listed = known.runners->find(entry.first);
        return !listed || listed->stage == entry.second.wanted
                || listed->startedAtMs != entry.second.startedAtMs
                || now - entry.second.orderedAt >= config::stageOrderTimeout;
    });
}

/// An engine that takes few requests can't stand in for a whole one: planned as one, it leaves the
/// others with more than they can serve.
bool stage_manager::isLimited(const runner &target, const runner_use &use,
                              const engine_traits &traits) const
{
    const auto limit = dependencies.limitOf ? dependencies.limitOf(target) : std::nullopt;
    if (!limit)
        return false;
    if (target.stage == engine_stage::Prefill)
        return *limit < config::minPlannedShare * config::promptsPerSecond;
    const double runMs = use.runMs > 0 ? use.runMs : config::unknownRunMs;
    return *limit * runMs / 1000 < config::minPlannedShare * traits.batch;
}

std::vector<stage_engine> stage_manager::enginesOf(const catalogue &known, const service &engines)
{
    std::vector<runner_entry> staged;
    const mono_time now = dependencies.clock.mono();
    // An engine without a stage does all work and refuses orders to change stage.
    for (const engine_stage stage : {engine_stage::Prefill, engine_stage::Decode}) {
        known.runners->groupOf(engines.id, stage).forEach([&](const runner_entry &one) {
            if (one->retainedUntil > now)
                staged.push_back(one);
        });
    }
    const std::vector<runner_use> uses = dependencies.runnerTable.usesOf(staged);
    std::vector<stage_engine> found;
    found.reserve(staged.size());
    for (std::size_t i = 0; i < staged.size(); ++i) {
        const runner &target = *staged[i];
        stage_engine seen{target.id, target.zone, target.stage, uses[i].open, false};
        const auto order = pendingOrders.find(target.id);
        // It refuses requests also while it changes its stage.
        if (order == pendingOrders.end() && isLimited(target, uses[i], *engines.engine))
            continue;
        if (order != pendingOrders.end()) {
            seen.stage = order->second.wanted;
            seen.isChanging = true;
        }
        found.push_back(std::move(seen));
    }
    return found;
}

void stage_manager::planService(const catalogue &known, const service &engines)
{
    const std::vector<stage_engine> seen = enginesOf(known, engines);
    stage_plan_state &state = planStates[engines.id];
    state.maxUsefulPrefill = static_cast<std::uint32_t>(dependencies.instanceCount()
                                                        * config::prefillEnginesPerInstance);
    state = updateMeanRunning(state, seen, dependencies.clock.mono());
    const std::vector<stage_change> changes = dueChanges(seen, *engines.engine, state);
    if (changes.empty())
        return;
    const auto term = lease.tryAcquire();
    if (!term)
        return;
    for (const stage_change &change : changes)
        placeOrder(known, change, *term);
}

void stage_manager::skipOrder(const runner &target, std::string_view reason)
{
    dependencies.events.emit("stage_order_skipped",
                             {{"runner", target.id.text}, {"reason", std::string(reason)}});
}

result<http_reply> stage_manager::call(const runner &target, const http_request &request,
                                       milliseconds timeout, const std::function<bool()> &check)
{
    const mono_time askedAt = dependencies.clock.mono();
    auto reply = callRunner(dependencies.connections, dependencies.names, target, request, timeout,
                            check);
    if (succeeded(reply) && dependencies.onAnswer)
        dependencies.onAnswer({lifeOf(target),
                               valueOf(reply).status,
                               valueOf(reply).headers,
                               withdrawals::answer_kind::Control,
                               askedAt,
                               {}});
    return reply;
}

/// Orders may be executed long after they were sent, also after newer ones. Each contains the
/// number of orders that the engine had taken when it was last queried; the engine drops a delayed
/// order because that number has changed since.
void stage_manager::placeOrder(const catalogue &known, const stage_change &change,
                               const duties::lease_term &term)
{
    const runner_entry entry = known.runners->find(change.engine);
    if (!entry)
        return;
    const runner &target = *entry;
    const auto wanted = dependencies.withdrawalOf ? dependencies.withdrawalOf(target)
                                                  : withdrawals::withdrawal{};
    if (forbidsSends(wanted)) {
        skipOrder(target, "engine " + std::string(nameOf(wanted.kind)));
        return;
    }
    const auto isInTerm = [&] { return dependencies.clock.mono() < term.endsAt; };
    const auto timeLeft = [&] {
        const auto left =
                std::chrono::duration_cast<milliseconds>(term.endsAt - dependencies.clock.mono());
        return std::min(left, config::stageCallTimeout);
    };
    if (timeLeft() <= milliseconds::zero())
        return;
    const auto report = call(target, dependencies.names.reportRequest(), timeLeft());
    const auto state = succeeded(report) ? dependencies.names.parseReport(valueOf(report).body)
                                         : std::optional<engine_report>();
    if (!state || state->isChanging || timeLeft() <= milliseconds::zero()) {
        skipOrder(target,
                  !state                      ? "engine gave no report"
                          : state->isChanging ? "stage change in progress"
                                              : "lease term expired");
        return;
    }
    const engine_order order{change.wanted, self, term.fence, state->ordersTaken};
    // Recorded before it is sent: even if the call fails, the engine may have taken the order.
    pendingOrders[target.id] = {change.wanted, dependencies.clock.mono(), target.startedAtMs};
    const auto reply =
            call(target, dependencies.names.stageOrderRequest(order), timeLeft(), isInTerm);
    const bool wasNotSent = !succeeded(reply) && errorOf(reply).ran == verdict::NotRun;
    if (wasNotSent)
        pendingOrders.erase(target.id);
    else
        dependencies.orders.add();
    dependencies.events.emit(
            "stage_order",
            {{"runner", target.id.text},
             {"wanted", std::string(nameOf(change.wanted))},
             {"fence", std::to_string(term.fence)},
             {"orders_taken", std::to_string(state->ordersTaken)},
             {"status", succeeded(reply) ? std::to_string(valueOf(reply).status) : ""},
             {"fault", succeeded(reply) ? "" : errorOf(reply).message}});
}

} // namespace poplarspool::gateway
