#include "operators/cross_checks.h"
#include "operators/file_keys.h"
#include "operators/value_rules.h"

#include <algorithm>

namespace poplarspool::operators {

namespace {

using policy::engine_role;
using policy::model_version;
using policy::pool_spec;
using policy::runner_kind;
using policy::runner_spec;

constexpr double leastRate = 0.001;
constexpr double mostRate = 1e9;

table_keys<model_version> modelKeys()
{
    using m = model_version;
    return {
            requiredKey<m>("model", "", &m::model, nameRule(), "Name that callers ask for."),
            requiredKey<m>("version", "", &m::version, nameRule(), "Version of its weights."),
    };
}

table_keys<pool_spec> poolKeys()
{
    using p = pool_spec;
    const auto kind = choiceRule<runner_kind>(
            {{"engine", runner_kind::Engine}, {"service", runner_kind::Service}});
    const auto role = choiceRule<engine_role>({{"mixed", engine_role::Mixed},
                                               {"prefill", engine_role::Prefill},
                                               {"decode", engine_role::Decode}});
    return {
            requiredKey<p>("id", "", &p::id, idRule<pool_id>(nameRule()), "Name of the pool."),
            requiredKey<p>("kind", "", &p::kind, kind, "What its runners are."),
            tablesKey<p>("serves", &p::serves, modelKeys(), config::maxModels,
                         "Engines: the models wanted in this pool."),
            optionalKey<p>("service", "", &p::service, nameRule(),
                           "Services: NAME in /v1/services/NAME/…"),
            optionalKey<p>("start_role", "", &p::startRole, role,
                           "Engines: their role before any plan."),
    };
}

/// What a runner is like; runner_defaults may set these too.
table_keys<runner_spec> traitKeys()
{
    using r = runner_spec;
    return {
            optionalKey<r>("checks_fence", "", &r::checksFence, flagRule(),
                           "Refuses an order whose fencing number is old."),
            optionalKey<r>("draining", "", &r::isDraining, flagRule(),
                           "Gets no new work; running streams finish."),
            optionalKey<r>("accelerators", "", &r::accelerators,
                           integerRule<std::uint32_t>(1, 1024), "Accelerators of the engine."),
            optionalKey<r>("kv_pieces", "pieces", &r::kvPieces,
                           integerRule<std::uint32_t>(1, 10000000), "Pieces of KV memory."),
            optionalKey<r>("piece_tokens", "tokens", &r::pieceTokens,
                           integerRule<std::uint32_t>(1, 4096), "Tokens that one piece holds."),
            optionalKey<r>("prefill_tokens_per_second", "tokens/s", &r::prefillTokensPerSecond,
                           realRule(leastRate, mostRate), "Of the whole engine."),
            optionalKey<r>("decode_tokens_per_second", "tokens/s", &r::decodeTokensPerSecond,
                           realRule(leastRate, mostRate),
                           "Of the whole engine, all streams together."),
            optionalKey<r>("concurrency", "requests", &r::concurrency,
                           integerRule<std::uint32_t>(1, 65536), "Requests that it runs at once."),
            tablesKey<r>("may_carry", &r::mayCarry, modelKeys(), config::maxModels,
                         "Engines: models and versions that it may be told to load."),
            optionalKey<r>("adapters", "", &r::adapters, listRule(nameRule(), config::maxAdapters),
                           "Engines: adapters that it may be told to load."),
    };
}

table_keys<runner_spec> runnerKeys()
{
    using r = runner_spec;
    table_keys<r> keys = {
            requiredKey<r>("id", "", &r::id, idRule<runner_id>(nameRule()), "Name of the runner."),
            requiredKey<r>("pool", "", &r::pool, idRule<pool_id>(nameRule()), "Its pool."),
            requiredKey<r>("zone", "", &r::zone, idRule<zone_id>(nameRule()), "Its zone."),
            requiredKey<r>("address", "", &r::address, endpointRule(), "Where it listens."),
    };
    for (key_decl<r> &trait : traitKeys())
        keys.push_back(std::move(trait));
    return keys;
}

table_keys<runner_spec> defaultsKeys()
{
    using r = runner_spec;
    table_keys<r> keys = {
            requiredKey<r>("pool", "", &r::pool, idRule<pool_id>(nameRule()),
                           "Whose runners inherit these values."),
    };
    for (key_decl<r> &trait : traitKeys())
        keys.push_back(std::move(trait));
    return keys;
}

/// What a runner starts from before its own keys are read.
runner_spec inheritedBy(const toml::table &runner, const std::vector<runner_spec> &defaults)
{
    const std::string pool = runner["pool"].value_or(std::string());
    const auto samePool = [&pool](const runner_spec &spec) { return spec.pool.text == pool; };
    const auto found = std::find_if(defaults.begin(), defaults.end(), samePool);
    return found == defaults.end() ? runner_spec{} : *found;
}

/// Declared after runner_defaults, so that the defaults have been read.
key_decl<inventory_file> runnersKey()
{
    const table_keys<runner_spec> keys = runnerKeys();
    key_row row{"runners", "", "none", "at most " + std::to_string(config::maxRunners) + " tables",
                "The fixed fleet."};
    std::vector<key_row> nested = rowsOf(keys);
    auto read = [keys](const read_place &place, inventory_file &into) {
        forEachTable(place, config::maxRunners,
                     [&](const toml::table &table, const std::string &path) {
                         runner_spec spec = inheritedBy(table, into.defaults);
                         readTable(table, path, keys, spec, place.faults);
                         into.fleet.runners.push_back(std::move(spec));
                     });
    };
    return {std::move(row), false, std::move(nested), std::move(read)};
}

table_keys<inventory_file> allKeys()
{
    using f = inventory_file;
    const auto deployment = [](f & file) -> auto &
    {
        return file.fleet.deployment;
    };
    const auto zones = [](f & file) -> auto &
    {
        return file.fleet.zones;
    };
    const auto pools = [](f & file) -> auto &
    {
        return file.fleet.pools;
    };
    return {
            requiredKey<f>("deployment", "", deployment, nameRule(),
                           "The deployment that this fleet belongs to."),
            requiredKey<f>("zones", "", zones,
                           listRule(idRule<zone_id>(nameRule()), config::maxZones),
                           "Availability zones."),
            tablesKey<f>("pools", pools, poolKeys(), config::maxPools,
                         "Runners that serve the same purpose."),
            tablesKey<f>("runner_defaults", &f::defaults, defaultsKeys(), config::maxPools,
                         "Values that the runners of one pool inherit."),
            runnersKey(),
    };
}

} // namespace

const table_keys<inventory_file> &inventoryKeys()
{
    static const table_keys<inventory_file> keys = allKeys();
    return keys;
}

checked<policy::inventory> parseInventory(const std::string &file, std::string_view text)
{
    fault_sink faults(file);
    inventory_file read;
    const toml::table root = parseToml(text, faults);
    if (!faults.isEmpty())
        return faults.sorted();
    readTable(root, "", inventoryKeys(), read, faults);
    checkInventory(read, root, faults);
    if (!faults.isEmpty())
        return faults.sorted();
    std::sort(read.fleet.runners.begin(), read.fleet.runners.end(),
              [](const runner_spec &a, const runner_spec &b) { return a.id.text < b.id.text; });
    return read.fleet;
}

} // namespace poplarspool::operators
