#include "poplarspool/policy/plan.h"

#include "role_split.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::policy {

namespace {

/// An engine of the pool that could be ordered to change.
struct pool_engine
{
    runner_handle runner;
    const runner_spec *spec = nullptr;
    const load_report *report = nullptr;
    std::vector<model_version> wanted; ///< Of the pool's models, those that it may carry.
    bool isServing = false; ///< Open for work, with a model of the pool.
};

struct pool_engines
{
    std::vector<pool_engine> idle; ///< Not in flight, with a fresh report.
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
        if (std::find(spec.mayCarry.begin(), spec.mayCarry.end(), model) != spec.mayCarry.end())
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
        // An engine that crashed in its change is lost, not under way: if it counted, it would keep
        // the pool from any change until somebody repairs it.
        if (state.health == runner_health::Down)
            continue;
        if (state.isReserved || state.report.isChanging) {
            ++engines.inFlight;
            continue;
        }
        // What an engine does now must be known before it is told to do something else.
        if (!isOpenForWork(now, {at}) || !isFreshReport(state, time))
            continue;
        const bool isServing = servesAny(state.report, pool);
        engines.serving += isServing ? 1 : 0;
        engines.idle.push_back({{at}, &spec, &state.report, wantedModels(spec, pool), isServing});
    }
    return engines;
}

double secondsSince(const plan_memory &memory, mono_time time)
{
    if (memory.lookedAt == mono_time{})
        return 0;
    const double passed = std::chrono::duration<double>(time - memory.lookedAt).count();
    return std::clamp(passed, 0.0, config::maxLookSeconds);
}

/// Moves an average and its spread towards what was seen.
void average(double &mean, double &spread, double seen, double seenSpread, double weight)
{
    const double off = seen - mean;
    mean += weight * off;
    const double variance = (1 - weight) * (spread * spread + weight * off * off)
            + weight * seenSpread * seenSpread;
    spread = std::sqrt(variance);
}

demand_estimate averageDemand(const plan_memory &memory, const demand_estimate &seen, double passed)
{
    if (memory.lookedAt == mono_time{})
        return seen;
    const double weight = 1 - std::exp(-passed / config::demandSeconds);
    demand_estimate demand = memory.demand;
    average(demand.prefillSeconds, demand.prefillSpread, seen.prefillSeconds, seen.prefillSpread,
            weight);
    average(demand.decodeSeconds, demand.decodeSpread, seen.decodeSeconds, seen.decodeSpread,
            weight);
    return demand;
}

/// @returns The demand with the uncertainty of its averages: far less than that of single looks,
///          whose ups and downs the engines' queues absorb. Planning for the latter hedges against
///          swings that are none, at the price of role changes.
demand_estimate withAverageSpread(demand_estimate demand)
{
    const double lookSeconds = std::chrono::duration<double>(config::planTime).count();
    const double weight = 1 - std::exp(-lookSeconds / config::demandSeconds);
    const double share = std::sqrt(weight / (2 - weight));
    demand.prefillSpread *= share;
    demand.decodeSpread *= share;
    return demand;
}

/// Hands out changes within the pool's limits.
class change_budget
{
public:
    change_budget(const plan_rule &rule, const pool_engines &engines)
        : left(rule.maxChangesInFlight > engines.inFlight
                       ? rule.maxChangesInFlight - engines.inFlight
                       : 0),
          spare(engines.serving > rule.minEngines ? engines.serving - rule.minEngines : 0)
    { }

    /// @returns Whether the engine may go; takes it off the budget.
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
    std::uint32_t spare; ///< Serving engines beyond those that must stay.
};

/// @returns The role that an engine has before any plan, or keeps beside one.
engine_role basicRole(const pool_engine &engine, const pool_spec &pool, const plan_rule &rule)
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

/// Engines that lack a model of their pool, or the role that they start with.
/// @returns Whether there are any, started now or not.
bool planBasics(const pool_engines &engines, const pool_spec &pool, const plan_rule &rule,
                change_budget &budget, plan_step &step)
{
    bool isAnyMissing = false;
    for (const bool servingToo : {false, true})
        for (const pool_engine &engine : engines.idle) {
            const engine_role role = basicRole(engine, pool, rule);
            if (engine.isServing != servingToo || engine.wanted.empty() || isAsWanted(engine, role))
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

/// @returns +1 where moves lead towards prefill, -1 where they lead towards decode.
double directionOf(const std::vector<role_move> &moves)
{
    int towards = 0;
    for (const role_move &move : moves) {
        towards += (move.to == engine_role::Prefill) - (move.from == engine_role::Prefill);
        towards -= (move.to == engine_role::Decode) - (move.from == engine_role::Decode);
    }
    return towards >= 0 ? 1 : -1;
}

/// Regret towards one side gathers; it fades while the present split is good enough, and faster
/// while the other side would be better. Without the fading, noise around the best split would
/// add up to a change now and then, and one swing to and fro to two.
double gatherRegret(double regret, const split_advice &advice, std::uint32_t engines, double passed)
{
    const bool isBetter = advice.gain > config::minPlanGain * engines;
    const double direction = directionOf(advice.moves);
    if (!isBetter || regret * direction < 0)
        regret *= std::exp(-passed / config::regretFadeSeconds);
    return isBetter ? regret + direction * advice.gain * passed : regret;
}

/// @returns Engine seconds that a role change of this engine costs.
double priceOf(const pool_engine &engine)
{
    const double drained = engine.report->running * config::typicalOutputTokens
            / std::max(1.0, engine.spec->decodeTokensPerSecond);
    // While it drains, an engine is still half used.
    return config::roleChangeSeconds + drained / 2;
}

/// @returns How many times its price a change must have been worth.
double priceFactor(const plan_rule &rule)
{
    return std::pow(config::mostPriceFactor, 1 - std::clamp(rule.goodputWeight, 0.0, 1.0));
}

/// @returns The engine of that role that is drained soonest and is not taken yet.
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

/// Rent or buy: a change is made when not making it has cost as much as it would, so that without
/// knowing the future at most about twice the best plan's price is paid.
void planRoles(const pool_engines &engines, const plan_rule &rule, const split_advice &advice,
               change_budget &budget, plan_step &step)
{
    const double factor = priceFactor(rule);
    double worth = std::abs(step.memory.regretSeconds);
    if (step.memory.regretSeconds * directionOf(advice.moves) <= 0)
        return;
    for (const role_move &move : advice.moves) {
        const pool_engine *engine = cheapest(engines, move.from, step);
        if (!engine)
            return;
        worth -= priceOf(*engine) * factor;
        if (worth < 0 || !budget.tryTake(*engine))
            return;
        step.changes.push_back({engine->runner, {move.to, engine->wanted}});
        step.memory.regretSeconds = 0;
    }
}

} // namespace

plan_step planPool(const view &now, const pool_id &pool, const plan_rule &rule,
                   const plan_memory &memory, const demand_estimate &seen, mono_time time)
{
    plan_step step{{}, memory};
    const pool_spec *spec = now.fleet ? findPool(*now.fleet, pool) : nullptr;
    if (!spec || spec->kind != runner_kind::Engine)
        return step;
    const double passed = secondsSince(memory, time);
    step.memory.demand = averageDemand(memory, seen, passed);
    step.memory.lookedAt = time;
    const pool_engines engines = enginesOf(now, *spec, time);
    change_budget budget(rule, engines);
    const bool isAnyMissing = planBasics(engines, *spec, rule, budget, step);
    // With a change in flight the split that would be judged is about to be another one.
    if (isAnyMissing || engines.inFlight > 0 || !rule.enabled)
        return step;
    const role_split split = splitOf(engines);
    const split_advice advice =
            adviseSplit(split, withAverageSpread(step.memory.demand), serving_mode::Whole);
    step.memory.regretSeconds = gatherRegret(memory.regretSeconds, advice, split.total(), passed);
    if (advice.gain > config::minPlanGain * split.total())
        planRoles(engines, rule, advice, budget, step);
    return step;
}

} // namespace poplarspool::policy
