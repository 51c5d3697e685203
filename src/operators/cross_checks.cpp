#include "operators/cross_checks.h"

#include <algorithm>
#include <map>
#include <set>

namespace poplarspool::operators {

namespace {

using policy::inventory;
using policy::model_version;
using policy::pool_spec;
using policy::request_rule;
using policy::rules;
using policy::runner_kind;
using policy::runner_spec;

/// Reports errors at the locations of keys in one file.
struct checker
{
    const toml::table &root;
    diagnostic_sink &diagnostics;

    void report(const std::string &key, std::string message) const
    {
        diagnostics.add(regionOf(root, key), key, std::move(message));
    }

    /// Reports a name that isn't in `known`. Empty names were already reported by the reader.
    void reportUnknown(const std::string &key, const std::string &name,
                       const std::vector<std::string> &known, std::string_view what) const
    {
        if (name.empty() || std::find(known.begin(), known.end(), name) != known.end())
            return;
        std::string message = "is \"" + name + "\", expected " + std::string(what);
        const std::string closest = closestMatch(name, known);
        message += closest.empty() ? "; none is defined" : "; the nearest is \"" + closest + '"';
        report(key, std::move(message));
    }
};

std::string keyAt(std::string_view list, std::size_t index, std::string_view name)
{
    return std::string(list) + '[' + std::to_string(index) + ']' + std::string(name);
}

/// Reports items whose text repeats that of an earlier item.
/// @param textOfItem Returns the text of an item; empty texts are not compared.
template <class Items, class TextOf>
void reportDuplicates(const checker &check, const Items &items, std::string_view list,
                      std::string_view name, TextOf textOfItem)
{
    std::map<std::string, std::size_t> seen;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const std::string text = textOfItem(items[index]);
        if (text.empty())
            continue;
        const auto [first, isNew] = seen.emplace(text, index);
        if (isNew)
            continue;
        const auto line = regionOf(check.root, keyAt(list, first->second, name)).begin.line;
        check.report(keyAt(list, index, name),
                     "is \"" + text + "\", already used by " + keyAt(list, first->second, name)
                             + " (line " + std::to_string(line) + ")");
    }
}

template <class Items, class TextOf>
std::vector<std::string> textsOf(const Items &items, TextOf textOfItem)
{
    std::vector<std::string> texts;
    std::transform(items.begin(), items.end(), std::back_inserter(texts), textOfItem);
    return texts;
}

const auto idText = [](const auto &item) { return item.id.text; };
const auto nameText = [](const auto &item) { return item.name; };

std::string addressText(const runner_spec &spec)
{
    return spec.address.isValid() ? textOf(spec.address) : std::string();
}

void checkPool(const checker &check, const pool_spec &pool, std::size_t index)
{
    if (pool.id.text.empty())
        return;
    if (pool.kind == runner_kind::Engine && pool.serves.empty())
        check.report(keyAt("pools", index, ".serves"), "is missing, expected a model to serve");
    if (pool.kind == runner_kind::Engine && !pool.service.empty())
        check.report(keyAt("pools", index, ".service"), "is for pools of kind \"service\"");
    if (pool.kind == runner_kind::Service && pool.service.empty())
        check.report(keyAt("pools", index, ".service"), "is missing, expected a service's name");
    if (pool.kind == runner_kind::Service && !pool.serves.empty())
        check.report(keyAt("pools", index, ".serves"), "is for pools of kind \"engine\"");
}

bool canServeAny(const runner_spec &spec, const pool_spec &pool)
{
    return std::any_of(
            pool.serves.begin(), pool.serves.end(), [&spec](const model_version &wanted) {
                return std::find(spec.supportedModels.begin(), spec.supportedModels.end(), wanted)
                        != spec.supportedModels.end();
            });
}

void checkRunner(const checker &check, const runner_spec &spec, const pool_spec &pool,
                 std::size_t index)
{
    const std::string key = keyAt("runners", index, ".may_carry");
    if (pool.kind == runner_kind::Engine && !pool.serves.empty() && !canServeAny(spec, pool))
        check.report(key, "has none of the models that pool \"" + pool.id.text + "\" serves");
    if (pool.kind == runner_kind::Service && !spec.supportedModels.empty())
        check.report(key, "is for engines, but pool \"" + pool.id.text + "\" has services");
}

void checkRunners(const checker &check, const inventory &fleet)
{
    const auto pools = textsOf(fleet.pools, idText);
    const auto zones = textsOf(fleet.zones, [](const zone_id &zone) { return zone.text; });
    for (std::size_t index = 0; index < fleet.runners.size(); ++index) {
        const runner_spec &spec = fleet.runners[index];
        check.reportUnknown(keyAt("runners", index, ".pool"), spec.pool.text, pools, "a pool's id");
        check.reportUnknown(keyAt("runners", index, ".zone"), spec.zone.text, zones,
                            "one of the zones");
        if (const pool_spec *pool = policy::findPool(fleet, spec.pool))
            checkRunner(check, spec, *pool, index);
    }
}

void checkRequest(const checker &check, const request_rule &rule, std::size_t index)
{
    if (!rule.model.empty() && !rule.service.empty())
        check.report(
                keyAt("requests", index, ".service"),
                "can't be combined with model: no request has both, so the rule would never match");
    if (!rule.pathPrefix.empty() && rule.service.empty())
        check.report(keyAt("requests", index, ".path_prefix"),
                     "requires service: paths are only compared for requests to a service");
}

std::vector<std::string> modelsOf(const inventory &fleet)
{
    std::set<std::string> models;
    for (const pool_spec &pool : fleet.pools) {
        for (const model_version &served : pool.serves)
            models.insert(served.model);
    }
    return {models.begin(), models.end()};
}

std::vector<std::string> servicesOf(const inventory &fleet)
{
    std::vector<std::string> services;
    for (const pool_spec &pool : fleet.pools) {
        if (!pool.service.empty())
            services.push_back(pool.service);
    }
    return services;
}

std::vector<std::string> enginePoolsOf(const inventory &fleet)
{
    std::vector<std::string> pools;
    for (const pool_spec &pool : fleet.pools) {
        if (pool.kind == runner_kind::Engine)
            pools.push_back(pool.id.text);
    }
    return pools;
}

void checkPlan(const checker &check, const inventory &fleet, const policy::plan_rule &plan,
               std::size_t index)
{
    check.reportUnknown(keyAt("plans", index, ".pool"), plan.pool.text, enginePoolsOf(fleet),
                        "the id of a pool of engines");
    const auto inPool = [&plan](const runner_spec &spec) { return spec.pool == plan.pool; };
    const auto engines = std::count_if(fleet.runners.begin(), fleet.runners.end(), inPool);
    if (engines > 0 && plan.minEngines > engines)
        check.report(keyAt("plans", index, ".min_engines"),
                     "is " + std::to_string(plan.minEngines) + ", but the pool has "
                             + std::to_string(engines) + " engines");
}

} // namespace

void checkInventory(const inventory_file &file, const toml::table &root,
                    diagnostic_sink &diagnostics)
{
    const checker check{root, diagnostics};
    const inventory &fleet = file.fleet;
    reportDuplicates(check, fleet.zones, "zones", "",
                     [](const zone_id &zone) { return zone.text; });
    reportDuplicates(check, fleet.pools, "pools", ".id", idText);
    reportDuplicates(check, fleet.pools, "pools", ".service",
                     [](const pool_spec &pool) { return pool.service; });
    reportDuplicates(check, fleet.runners, "runners", ".id", idText);
    reportDuplicates(check, fleet.runners, "runners", ".address", addressText);
    reportDuplicates(check, file.runnerDefaults, "runner_defaults", ".pool",
                     [](const runner_spec &spec) { return spec.pool.text; });
    const auto pools = textsOf(fleet.pools, idText);
    for (std::size_t index = 0; index < file.runnerDefaults.size(); ++index)
        check.reportUnknown(keyAt("runner_defaults", index, ".pool"),
                            file.runnerDefaults[index].pool.text, pools, "a pool's id");
    for (std::size_t index = 0; index < fleet.pools.size(); ++index)
        checkPool(check, fleet.pools[index], index);
    checkRunners(check, fleet);
}

void checkRules(const rules &ruleSet, const toml::table &root, diagnostic_sink &diagnostics)
{
    const checker check{root, diagnostics};
    const toml::array *classList = root["classes"].as_array();
    if (!root.contains("classes") || (classList && classList->empty()))
        check.report("classes", "is missing, expected at least one class");
    reportDuplicates(check, ruleSet.classes, "classes", ".name", nameText);
    reportDuplicates(check, ruleSet.callers, "callers", ".id", idText);
    reportDuplicates(check, ruleSet.callers, "callers", ".key_sha256",
                     [](const policy::caller_rule &caller) { return caller.keySha256; });
    reportDuplicates(check, ruleSet.requests, "requests", ".name", nameText);
    reportDuplicates(check, ruleSet.plans, "plans", ".pool",
                     [](const policy::plan_rule &plan) { return plan.pool.text; });
    const auto classes = textsOf(ruleSet.classes, nameText);
    const auto callers = textsOf(ruleSet.callers, idText);
    for (std::size_t index = 0; index < ruleSet.callers.size(); ++index)
        check.reportUnknown(keyAt("callers", index, ".class"), ruleSet.callers[index].priorityClass,
                            classes, "a class's name");
    for (std::size_t index = 0; index < ruleSet.requests.size(); ++index) {
        const request_rule &rule = ruleSet.requests[index];
        check.reportUnknown(keyAt("requests", index, ".class"), rule.priorityClass, classes,
                            "a class's name");
        check.reportUnknown(keyAt("requests", index, ".caller"), rule.caller.text, callers,
                            "a caller's id");
        checkRequest(check, rule, index);
    }
}

void checkRulesAgainst(const inventory &fleet, const rules &ruleSet, const toml::table &root,
                       diagnostic_sink &diagnostics)
{
    const checker check{root, diagnostics};
    for (std::size_t index = 0; index < ruleSet.requests.size(); ++index) {
        const request_rule &rule = ruleSet.requests[index];
        check.reportUnknown(keyAt("requests", index, ".model"), rule.model, modelsOf(fleet),
                            "a model that a pool serves");
        check.reportUnknown(keyAt("requests", index, ".service"), rule.service, servicesOf(fleet),
                            "a service of the inventory");
    }
    for (std::size_t index = 0; index < ruleSet.plans.size(); ++index)
        checkPlan(check, fleet, ruleSet.plans[index], index);
}

} // namespace poplarspool::operators
