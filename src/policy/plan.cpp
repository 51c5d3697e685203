#include "poplarspool/policy/plan.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/policy/limits.h"
#include "role_split.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::policy {

namespace {

/// An engine of the pool that may be given an order to change.
struct pool_engine
{
    runner_handle runner;
    const runner_spec *spec = nullptr;
    const load_report *report = nullptr;
    std::vector<model_version> wanted; ///< The pool's models that the engine supports.
    bool isServing = false; ///< Open for work, with a model of the pool loaded.
};

struct pool_engines
{
    std::vector<pool_engine> idle; ///< Without a change in flight and with a fresh report.
    std::uint32_t inFlight = 0;
    std::uint32_t serving = 0;
};

bool isLoaded(const load_report &report, const model_version &model)
{
    return std::find(report.models.begin(), report.models.end(), model) != report.models.end();
}

bool servesAny(const load_report &report, const pool_spec &pool)
{
    return std::any_of(report.models.begin(), report.models.end(), [&](const model_version &one) {
        return std::any_of(pool.serves.begin(), pool.serves.end(),
                           [&](const model_version &other) { return one.model == other.model; });
    });
}

std::vector<model_version> wantedModels(const runner_spec &spec, const pool_spec &pool)
{
    std::vector<model_version> wanted;
    for (const model_version &model : pool.serves)
        if (std::find(spec.supportedModels.begin(), spec.supportedModels.end(), model)
            != spec.supportedModels.end())
            wanted.push_back(model);
    return wanted;
}

pool_engines enginesOf(const view &now, const pool_spec &pool, mono_time time)
{
    pool_engines engines;
    for (std::uint32_t at = 0; at < now.fleet->runners.size() && at < now.runners.size(); ++at) {
        const runner_spec &spec = now.fleet->runners[at];
        const runner_state &state = now.runners[at];
        if (spec.pool != pool.id)
            continue;
        // An engine that crashed during its change must not count as in flight: it would block all
        // changes of the pool until it is repaired.
        if (state.health == runner_health::Down)
            continue;
        if (state.isReserved || state.report.isChanging) {
            ++engines.inFlight;
            continue;
        }
        // The current state of an engine must be known before it is given an order.
        if (!isOpenForWork(now, {at}) || !isFreshReport(state, time))
            continue;
        const bool isServing = servesAny(state.report, pool);
        engines.serving += isServing ? 1 : 0;
        engines.idle.push_back({{at}, &spec, &state.report, wantedModels(spec, pool), isServing});
    }
    return engines;
}

double secondsSince(const planner_state &memory, mono_time time)
{
    if (memory.lastIterationAt == mono_time{})
        return 0;
    const double passed = std::chrono::duration<double>(time - memory.lastIterationAt).count();
    return std::clamp(passed, 0.0, config::maxIterationSeconds);
}

/// Updates an exponentially weighted mean and standard deviation with a sample.
void updateAverage(double &mean, double &stdDev, double seen, double seenStdDev, double weight)
{
    const double deviation = seen - mean;
    mean += weight * deviation;
    const double variance = (1 - weight) * (stdDev * stdDev + weight * deviation * deviation)
            + weight * seenStdDev * seenStdDev;
    stdDev = std::sqrt(variance);
}

demand_estimate averageDemand(const planner_state &memory, const demand_estimate &seen,
                              double passed)
{
    if (memory.lastIterationAt == mono_time{})
        return seen;
    const double weight = 1 - std::exp(-passed / config::demandTimeConstantSeconds);
    demand_estimate demand = memory.demand;
    updateAverage(demand.prefillSeconds, demand.prefillStdDev, seen.prefillSeconds,
                  seen.prefillStdDev, weight);
    updateAverage(demand.decodeSeconds, demand.decodeStdDev, seen.decodeSeconds, seen.decodeStdDev,
                  weight);
    return demand;
}

/// @returns The demand with the standard deviation of its averages. It is far lower than that of
///          single iterations, whose fluctuations the engines' queues absorb; planning for those
///          would cause unnecessary role changes.
demand_estimate withStdDevOfMean(demand_estimate demand)
{
    const double intervalSeconds = std::chrono::duration<double>(config::planInterval).count();
    const double weight = 1 - std::exp(-intervalSeconds / config::demandTimeConstantSeconds);
    const double share = std::sqrt(weight / (2 - weight));
    demand.prefillStdDev *= share;
    demand.decodeStdDev *= share;
    return demand;
}

/// Grants changes within the pool's limits.
class change_budget
{
public:
    change_budget(const plan_rule &rule, const pool_engines &engines)
        : left(rule.maxChangesInFlight > engines.inFlight
                       ? rule.maxChangesInFlight - engines.inFlight
                       : 0),
          spare(engines.serving > rule.minEngines ? engines.serving - rule.minEngines : 0)
    { }

    /// Takes the engine's change from the budget.
    /// @returns False if the budget does not allow it.
    bool tryTake(const pool_engine &engine)
    {
        if (left == 0 || (engine.isServing && spare == 0))
            return false;
        --left;
        spare -= engine.isServing ? 1 : 0;
        return true;
    }

private:
    std::uint32_t left;
    std::uint32_t spare; ///< Serving engines above the required minimum.
};

/// @returns The role that an engine should have if no role change is planned.
engine_role baseRole(const pool_engine &engine, const pool_spec &pool, const plan_rule &rule)
{
    return rule.enabled && engine.isServing ? engine.report->role : pool.startRole;
}

bool isAsWanted(const pool_engine &engine, engine_role role)
{
    const bool hasAll =
            std::all_of(engine.wanted.begin(), engine.wanted.end(),
                        [&](const model_version &one) { return isLoaded(*engine.report, one); });
    return hasAll && engine.report->role == role;
}

/// Plans changes of engines that lack a model of their pool or their base role.
/// @returns Whether there are any, including those whose change can't start now.
bool planBaseState(const pool_engines &engines, const pool_spec &pool, const plan_rule &rule,
                   change_budget &budget, plan_step &step)
{
    bool isAnyMissing = false;
    for (const bool isServingPass : {false, true})
        for (const pool_engine &engine : engines.idle) {
            const engine_role role = baseRole(engine, pool, rule);
            if (engine.isServing != isServingPass || engine.wanted.empty()
                || isAsWanted(engine, role))
                continue;
            isAnyMissing = true;
            if (budget.tryTake(engine))
                step.changes.push_back({engine.runner, {role, engine.wanted}});
        }
    return isAnyMissing;
}

role_split splitOf(const pool_engines &engines)
{
    role_split split;
    for (const pool_engine &engine : engines.idle)
        if (engine.isServing)
            ++countOf(split, engine.report->role);
    return split;
}

/// @returns +1 if the moves shift engines towards prefill, -1 if towards decode.
double directionOf(const std::vector<role_move> &moves)
{
    int towards = 0;
    for (const role_move &move : moves) {
        towards += (move.to == engine_role::Prefill) - (move.from == engine_role::Prefill);
        towards -= (move.to == engine_role::Decode) - (move.from == engine_role::Decode);
    }
    return towards >= 0 ? 1 : -1;
}

/// Accumulates regret in one direction. It decays while the current split is good enough, and also
/// while the opposite direction would be better. Without decay, noise around the best split would
/// occasionally add up to a change, and one fluctuation back and forth would cause two.
double accumulateRegret(double regret, const split_advice &advice, std::uint32_t engines,
                        double passed)
{
    const bool isBetter = advice.gain > config::minPlanGain * engines;
    const double direction = directionOf(advice.moves);
    if (!isBetter || regret * direction < 0)
        regret *= std::exp(-passed / config::regretDecaySeconds);
    return isBetter ? regret + direction * advice.gain * passed : regret;
}

/// @returns Cost of a role change of this engine, in engine seconds.
double changeCost(const pool_engine &engine)
{
    const double drained = engine.report->running * config::typicalOutputTokens
            / std::max(1.0, engine.spec->decodeTokensPerSecond);
    // A draining engine is half used on average.
    return config::roleChangeSeconds + drained / 2;
}

/// @returns Factor by which the regret must exceed the cost of a change.
double costFactor(const plan_rule &rule)
{
    return std::pow(config::maxPriceFactor, 1 - std::clamp(rule.goodputWeight, 0.0, 1.0));
}

/// @returns The serving engine of that role with the fewest running requests, which drains soonest,
///          and without a planned change.
const pool_engine *cheapest(const pool_engines &engines, engine_role role, const plan_step &step)
{
    const pool_engine *best = nullptr;
    for (const pool_engine &engine : engines.idle) {
        const bool isTaken = std::any_of(
                step.changes.begin(), step.changes.end(),
                [&](const planned_change &change) { return change.runner == engine.runner; });
        if (isTaken || !engine.isServing || engine.report->role != role)
            continue;
        if (!best || engine.report->running < best->report->running)
            best = &engine;
    }
    return best;
}

/// Plans role changes by the rent-or-buy rule: a change is made once not making it has cost as much
/// as the change itself. Without knowledge of future demand, the total cost is then at most about
/// twice that of the optimal plan.
void planRoles(const pool_engines &engines, const plan_rule &rule, const split_advice &advice,
               change_budget &budget, plan_step &step)
{
    const double factor = costFactor(rule);
    double remainingRegret = std::abs(step.plannerState.regretSeconds);
    if (step.plannerState.regretSeconds * directionOf(advice.moves) <= 0)
        return;
    for (const role_move &move : advice.moves) {
        const pool_engine *engine = cheapest(engines, move.from, step);
        if (!engine)
            return;
        remainingRegret -= changeCost(*engine) * factor;
        if (remainingRegret < 0 || !budget.tryTake(*engine))
            return;
        step.changes.push_back({engine->runner, {move.to, engine->wanted}});
        step.plannerState.regretSeconds = 0;
    }
}

} // namespace

plan_step planPool(const view &now, const pool_id &pool, const plan_rule &rule,
                   const planner_state &memory, const demand_estimate &seen, mono_time time)
{
    plan_step step{{}, memory};
    const pool_spec *spec = now.fleet ? findPool(*now.fleet, pool) : nullptr;
    if (!spec || spec->kind != runner_kind::Engine)
        return step;
    const double passed = secondsSince(memory, time);
    step.plannerState.demand = averageDemand(memory, seen, passed);
    step.plannerState.lastIterationAt = time;
    const pool_engines engines = enginesOf(now, *spec, time);
    change_budget budget(rule, engines);
    const bool isAnyMissing = planBaseState(engines, *spec, rule, budget, step);
    // A change in flight is about to alter the split, so it can't be evaluated now.
    if (isAnyMissing || engines.inFlight > 0 || !rule.enabled)
        return step;
    const role_split split = splitOf(engines);
    const split_advice advice = adviseSplit(split, withStdDevOfMean(step.plannerState.demand),
                                            serving_mode::SingleEngine);
    step.plannerState.regretSeconds =
            accumulateRegret(memory.regretSeconds, advice, split.total(), passed);
    if (advice.gain > config::minPlanGain * split.total())
        planRoles(engines, rule, advice, budget, step);
    return step;
}

} // namespace poplarspool::policy
