#include "operators/cross_checks.h"
#include "operators/file_keys.h"
#include "operators/value_rules.h"
#include "poplarspool/operators/limits.h"

#include <algorithm>

namespace poplarspool::operators {

namespace {

using policy::engine_role;
using policy::model_version;
using policy::pool_spec;
using policy::runner_kind;
using policy::runner_spec;

constexpr double minRate = 0.001;
constexpr double maxRate = 1e9;

table_keys<model_version> modelKeys()
{
    using m = model_version;
    return {
            requiredKey<m>("model", "", &m::model, nameRule(),
                           "Name of the model in callers' requests."),
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
            requiredKey<p>("kind", "", &p::kind, kind, "Kind of its runners."),
            tablesKey<p>("serves", &p::serves, modelKeys(), config::maxModels,
                         "Engines: the models wanted in this pool."),
            optionalKey<p>("service", "", &p::service, nameRule(),
                           "Services: NAME in /v1/services/NAME/…"),
            optionalKey<p>("start_role", "", &p::startRole, role,
                           "Engines: their role before the first plan."),
    };
}

/// Keys of runners that runner_defaults may also set.
table_keys<runner_spec> propertyKeys()
{
    using r = runner_spec;
    return {
            optionalKey<r>("checks_fence", "", &r::checksFence, flagRule(),
                           "Whether the runner refuses orders with an outdated fencing token."),
            optionalKey<r>("draining", "", &r::isDraining, flagRule(),
                           "Gets no new work; running streams finish."),
            optionalKey<r>("accelerators", "", &r::accelerators,
                           integerRule<std::uint32_t>(1, 1024), "Accelerators of the engine."),
            optionalKey<r>("kv_pieces", "pieces", &r::kvPieces,
                           integerRule<std::uint32_t>(1, 10000000), "Size of the KV cache."),
            optionalKey<r>("piece_tokens", "tokens", &r::pieceTokens,
                           integerRule<std::uint32_t>(1, 4096), "Tokens that one piece holds."),
            optionalKey<r>("prefill_tokens_per_second", "tokens/s", &r::prefillTokensPerSecond,
                           realRule(minRate, maxRate), "Prefill rate of the whole engine."),
            optionalKey<r>("decode_tokens_per_second", "tokens/s", &r::decodeTokensPerSecond,
                           realRule(minRate, maxRate),
                           "Decode rate of the whole engine, all streams together."),
            optionalKey<r>("concurrency", "requests", &r::concurrency,
                           integerRule<std::uint32_t>(1, 65536),
                           "Requests that the runner runs concurrently."),
            tablesKey<r>("may_carry", &r::supportedModels, modelKeys(), config::maxModels,
                         "Engines: models and versions that it may be ordered to load."),
            optionalKey<r>("adapters", "", &r::adapters, listRule(nameRule(), config::maxAdapters),
                           "Engines: adapters that it may be ordered to load."),
    };
}

table_keys<runner_spec> runnerKeys()
{
    using r = runner_spec;
    table_keys<r> keys = {
            requiredKey<r>("id", "", &r::id, idRule<runner_id>(nameRule()), "Name of the runner."),
            requiredKey<r>("pool", "", &r::pool, idRule<pool_id>(nameRule()), "Its pool."),
            requiredKey<r>("zone", "", &r::zone, idRule<zone_id>(nameRule()), "Its zone."),
            requiredKey<r>("address", "", &r::address, endpointRule(), "Address where it listens."),
    };
    for (key_decl<r> &declared : propertyKeys())
        keys.push_back(std::move(declared));
    return keys;
}

table_keys<runner_spec> defaultsKeys()
{
    using r = runner_spec;
    table_keys<r> keys = {
            requiredKey<r>("pool", "", &r::pool, idRule<pool_id>(nameRule()),
                           "Pool whose runners inherit these values."),
    };
    for (key_decl<r> &declared : propertyKeys())
        keys.push_back(std::move(declared));
    return keys;
}

/// @returns The defaults of the runner's pool, to which its own keys are then applied.
runner_spec inheritedBy(const toml::table &runner, const std::vector<runner_spec> &runnerDefaults)
{
    const std::string pool = runner["pool"].value_or(std::string());
    const auto samePool = [&pool](const runner_spec &spec) { return spec.pool.text == pool; };
    const auto found = std::find_if(runnerDefaults.begin(), runnerDefaults.end(), samePool);
    return found == runnerDefaults.end() ? runner_spec{} : *found;
}

/// Must be declared after runner_defaults, so that the defaults have been read.
key_decl<inventory_file> runnersKey()
{
    const table_keys<runner_spec> keys = runnerKeys();
    key_row row{"runners", "", "none", "at most " + std::to_string(config::maxRunners) + " tables",
                "The fixed fleet."};
    std::vector<key_row> nested = rowsOf(keys);
    auto read = [keys](const value_location &location, inventory_file &into) {
        forEachTable(location, config::maxRunners,
                     [&](const toml::table &table, const std::string &path) {
                         runner_spec spec = inheritedBy(table, into.runnerDefaults);
                         readTable(table, path, keys, spec, location.diagnostics);
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
            tablesKey<f>("runner_defaults", &f::runnerDefaults, defaultsKeys(), config::maxPools,
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

parse_result<policy::inventory> parseInventory(const std::string &file, std::string_view text)
{
    diagnostic_sink diagnostics(file);
    inventory_file contents;
    const toml::table root = parseToml(text, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    readTable(root, "", inventoryKeys(), contents, diagnostics);
    checkInventory(contents, root, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    std::sort(contents.fleet.runners.begin(), contents.fleet.runners.end(),
              [](const runner_spec &a, const runner_spec &b) { return a.id.text < b.id.text; });
    return contents.fleet;
}

} // namespace poplarspool::operators
