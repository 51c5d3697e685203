#include "poplarspool/policy/inventory.h"

#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::policy {

std::string_view nameOf(runner_kind kind)
{
    return kind == runner_kind::Engine ? "engine" : "service";
}

std::string_view nameOf(engine_role role)
{
    switch (role) {
    case engine_role::Mixed:
        return "mixed";
    case engine_role::Prefill:
        return "prefill";
    case engine_role::Decode:
        return "decode";
    }
    return "mixed";
}

std::optional<runner_kind> runnerKindOf(std::string_view name)
{
    for (const auto kind : {runner_kind::Engine, runner_kind::Service})
        if (nameOf(kind) == name)
            return kind;
    return std::nullopt;
}

std::optional<engine_role> engineRoleOf(std::string_view name)
{
    for (const auto role : {engine_role::Mixed, engine_role::Prefill, engine_role::Decode})
        if (nameOf(role) == name)
            return role;
    return std::nullopt;
}

runner_handle findRunner(const inventory &fleet, const runner_id &id)
{
    const auto at = std::lower_bound(fleet.runners.begin(), fleet.runners.end(), id,
                                     [](const runner_spec &runner, const runner_id &wanted) {
                                         return runner.id.text < wanted.text;
                                     });
    if (at == fleet.runners.end() || at->id != id)
        return {};
    return runner_handle{static_cast<std::uint32_t>(at - fleet.runners.begin())};
}

const pool_spec *findPool(const inventory &fleet, const pool_id &id)
{
    const auto at = std::find_if(fleet.pools.begin(), fleet.pools.end(),
                                 [&](const pool_spec &pool) { return pool.id == id; });
    return at == fleet.pools.end() ? nullptr : &*at;
}

namespace {

bool servesModel(const pool_spec &pool, std::string_view model)
{
    return std::any_of(pool.serves.begin(), pool.serves.end(),
                       [&](const model_version &served) { return served.model == model; });
}

void addCandidate(candidate_list &list, const runner_spec &runner,
                  const indexed_candidate &candidate)
{
    const bool isListed = !list.runners.empty() && list.runners.back().runner == candidate.runner;
    if (runner.isDraining || isListed)
        return;
    list.runners.push_back(candidate);
    list.idHashes.push_back(hashOf(runner.id.text));
}

void indexEngine(view_index &index, const runner_spec &runner, const pool_spec &pool,
                 indexed_candidate candidate)
{
    for (const model_version &supported : runner.supportedModels) {
        candidate.facts.isModelExpected = servesModel(pool, supported.model);
        addCandidate(index.models[supported.model], runner, candidate);
    }
}

} // namespace

runner_rates ratesOf(const runner_spec &spec)
{
    runner_rates rates;
    rates.prefillTokensPerSecond = std::max(1.0, spec.prefillTokensPerSecond);
    rates.prefillTokenSeconds = 1 / rates.prefillTokensPerSecond;
    rates.decodeTokenSeconds = 1 / std::max(1.0, spec.decodeTokensPerSecond);
    rates.piecesPerToken = 1.0 / std::max(1u, spec.pieceTokens);
    rates.pieces = spec.kvPieces;
    rates.slots = std::max(1u, spec.concurrency);
    return rates;
}

view_index indexOf(std::shared_ptr<const inventory> fleet)
{
    view_index index;
    for (const zone_id &zone : fleet->zones)
        index.zones.emplace(zone.text, static_cast<std::uint32_t>(index.zones.size()));
    for (std::uint32_t at = 0; at < fleet->runners.size(); ++at) {
        const runner_spec &runner = fleet->runners[at];
        index.ids.emplace(runner.id.text, runner_handle{at});
        const pool_spec *pool = findPool(*fleet, runner.pool);
        if (!pool)
            continue;
        indexed_candidate candidate{runner_handle{at}, {}};
        candidate.facts.rates = ratesOf(runner);
        if (const auto zone = index.zones.find(runner.zone.text); zone != index.zones.end())
            candidate.facts.zone = zone->second;
        candidate.facts.startRole = pool->startRole;
        if (pool->kind == runner_kind::Engine)
            indexEngine(index, runner, *pool, candidate);
        else
            addCandidate(index.services[pool->service], runner, candidate);
    }
    index.fleet = std::move(fleet);
    return index;
}

} // namespace poplarspool::policy
