#include "node/planner_core.h"

#include "poplarspool/operators/config_store.h"
#include "poplarspool/policy/role_owner.h"

#include <utility>

namespace poplarspool::node {

namespace {

const policy::plan_rule *findRule(const policy::rules &rules, const pool_id &pool)
{
    for (const policy::plan_rule &rule : rules.plans) {
        if (rule.pool == pool)
            return &rule;
    }
    return nullptr;
}

/// Marks the engines that this planner has reserved. The marks in the view come from the store and
/// lag behind the orders that this planner has just begun; planning with them alone would begin
/// more changes than the rule allows.
template <class Writers>
policy::view withReservations(const policy::view &now, const Writers &writers)
{
    policy::view marked = now;
    for (const auto &[id, writer] : writers) {
        const runner_handle handle = policy::findRunner(*now.fleet, id);
        if (handle.isValid())
            marked.runners[handle.index].isReserved |= writer.isBusy();
    }
    return marked;
}

} // namespace

bool isPlannerOf(const policy::view &now, const pool_id &pool, const instance_id &self)
{
    const policy::member *owner = policy::ownerOf(now.members, "plan/" + pool.text);
    return owner && owner->id == self;
}

planner_core::planner_core(planner_dependencies dependencies, view_publisher &views,
                           order_context context, plan_function decide)
    : dependencies(std::move(dependencies)), views(views), context(std::move(context)),
      decide(std::move(decide))
{ }

void planner_core::runOnce()
{
    const policy::view_ptr now = views.current();
    if (!now || !now->fleet || !now->ruleSet)
        return;
    for (const policy::pool_spec &pool : now->fleet->pools) {
        if (pool.kind != policy::runner_kind::Engine)
            continue;
        if (isPlannerOf(*now, pool.id, dependencies.self))
            runPool(*now, pool);
        else
            poolStates.erase(pool.id);
    }
}

void planner_core::runPool(const policy::view &now, const policy::pool_spec &pool)
{
    pool_state &state = poolStates[pool.id];
    for (const policy::runner_spec &spec : now.fleet->runners) {
        if (spec.pool == pool.id)
            state.writers.try_emplace(spec.id, context, spec.id);
    }
    if (!state.isLoaded && !loadRecords(pool.id, state))
        return;
    stepOrders(now, pool.id, state);
    if (policy::isFresh(now, context.clock.mono()))
        plan(now, pool.id, state);
}

/// Reads all records with one call: a get per engine would use up the call budget at every
/// takeover.
bool planner_core::loadRecords(const pool_id &pool, pool_state &state)
{
    const auto listed = context.store.list(operators::orderKey(dependencies.deployment, ""));
    if (!succeeded(listed))
        return false;
    for (auto &[id, writer] : state.writers)
        writer.adoptMissing();
    for (const platform::object &each : valueOf(listed).objects) {
        const auto record = parseOrderRecord(each.value);
        if (!succeeded(record)) {
            context.events.emit("order_unreadable",
                                {{"key", each.key}, {"message", errorOf(record).message}});
            continue;
        }
        const auto found = state.writers.find(valueOf(record).runner);
        if (found != state.writers.end())
            found->second.adopt(valueOf(record), each.version);
    }
    state.isLoaded = true;
    context.events.emit("plan_taken_over", {{"pool", pool.text}});
    return true;
}

void planner_core::readRecord(const runner_id &runner, order_writer &writer)
{
    const auto found = context.store.get(operators::orderKey(dependencies.deployment, runner.text));
    if (!succeeded(found)) {
        if (errorOf(found).code == error_code::NotFound)
            writer.adoptMissing();
        return;
    }
    const auto record = parseOrderRecord(valueOf(found).value);
    if (succeeded(record))
        writer.adopt(valueOf(record), valueOf(found).version);
}

void planner_core::stepOrders(const policy::view &now, const pool_id &pool, pool_state &state)
{
    for (std::uint32_t index = 0; index < now.fleet->runners.size(); ++index) {
        const policy::runner_spec &spec = now.fleet->runners[index];
        const auto found = state.writers.find(spec.id);
        if (spec.pool != pool || found == state.writers.end())
            continue;
        order_writer &writer = found->second;
        // Another planner of this pool, working on an older list of members, has begun an order. If
        // it were not read here it would stay open forever.
        const bool isForeign = now.runners[index].isReserved && !writer.isBusy()
                && now.appliedVersion >= writer.version();
        if (!writer.isKnown() || isForeign)
            readRecord(spec.id, writer);
        writer.step(spec, now.ruleSet->drainTime);
    }
}

void planner_core::plan(const policy::view &now, const pool_id &pool, pool_state &state)
{
    const policy::view marked = withReservations(now, state.writers);
    const policy::plan_rule *rule = findRule(*now.ruleSet, pool);
    const auto step = decide(marked, pool, rule ? *rule : policy::plan_rule{.pool = pool},
                             state.memory, dependencies.demand(pool), context.clock.mono());
    state.memory = step.plannerState;
    for (const policy::planned_change &change : step.changes) {
        const policy::runner_spec &spec = now.fleet->runners.at(change.runner.index);
        const auto found = state.writers.find(spec.id);
        if (found != state.writers.end())
            found->second.begin(change.wanted, now.runners[change.runner.index].report);
    }
}

} // namespace poplarspool::node
