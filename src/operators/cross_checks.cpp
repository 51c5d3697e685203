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

/// Adds faults at the places of keys of one file.
struct checker
{
    const toml::table &root;
    fault_sink &faults;

    void refuse(const std::string &key, std::string message) const
    {
        faults.add(regionOf(root, key), key, std::move(message));
    }

    /// Names left empty were refused when they were read.
    void refuseUnknown(const std::string &key, const std::string &name,
                       const std::vector<std::string> &known, std::string_view what) const
    {
        if (name.empty() || std::find(known.begin(), known.end(), name) != known.end())
            return;
        std::string message = "is \"" + name + "\", expected " + std::string(what);
        const std::string nearest = nearestOf(name, known);
        message += nearest.empty() ? "; there is none" : "; the nearest is \"" + nearest + '"';
        refuse(key, std::move(message));
    }
};

std::string keyAt(std::string_view list, std::size_t index, std::string_view name)
{
    return std::string(list) + '[' + std::to_string(index) + ']' + std::string(name);
}

/// Refuses values that came before. @param textOfItem Empty texts are not compared.
template <class Items, class TextOf>
void refuseRepeats(const checker &check, const Items &items, std::string_view list,
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
        check.refuse(keyAt(list, index, name),
                     "is \"" + text + "\", which " + keyAt(list, first->second, name) + " in line "
                             + std::to_string(line) + " already is");
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
        check.refuse(keyAt("pools", index, ".serves"), "is missing, expected a model to serve");
    if (pool.kind == runner_kind::Engine && !pool.service.empty())
        check.refuse(keyAt("pools", index, ".service"), "is for pools of kind \"service\"");
    if (pool.kind == runner_kind::Service && pool.service.empty())
        check.refuse(keyAt("pools", index, ".service"), "is missing, expected a service's name");
    if (pool.kind == runner_kind::Service && !pool.serves.empty())
        check.refuse(keyAt("pools", index, ".serves"), "is for pools of kind \"engine\"");
}

bool canServe(const runner_spec &spec, const pool_spec &pool)
{
    return std::any_of(pool.serves.begin(), pool.serves.end(),
                       [&spec](const model_version &wanted) {
                           return std::find(spec.mayCarry.begin(), spec.mayCarry.end(), wanted)
                                   != spec.mayCarry.end();
                       });
}

void checkRunner(const checker &check, const runner_spec &spec, const pool_spec &pool,
                 std::size_t index)
{
    const std::string key = keyAt("runners", index, ".may_carry");
    if (pool.kind == runner_kind::Engine && !pool.serves.empty() && !canServe(spec, pool))
        check.refuse(key, "has none of the models that pool \"" + pool.id.text + "\" serves");
    if (pool.kind == runner_kind::Service && !spec.mayCarry.empty())
        check.refuse(key, "is for engines, but pool \"" + pool.id.text + "\" has services");
}

void checkRunners(const checker &check, const inventory &fleet)
{
    const auto pools = textsOf(fleet.pools, idText);
    const auto zones = textsOf(fleet.zones, [](const zone_id &zone) { return zone.text; });
    for (std::size_t index = 0; index < fleet.runners.size(); ++index) {
        const runner_spec &spec = fleet.runners[index];
        check.refuseUnknown(keyAt("runners", index, ".pool"), spec.pool.text, pools, "a pool's id");
        check.refuseUnknown(keyAt("runners", index, ".zone"), spec.zone.text, zones,
                            "one of the zones");
        if (const pool_spec *pool = policy::findPool(fleet, spec.pool))
            checkRunner(check, spec, *pool, index);
    }
}

void checkRequest(const checker &check, const request_rule &rule, std::size_t index)
{
    if (!rule.model.empty() && !rule.service.empty())
        check.refuse(keyAt("requests", index, ".service"),
                     "stands beside model; no request has both, so the rule never matches");
    if (!rule.pathPrefix.empty() && rule.service.empty())
        check.refuse(keyAt("requests", index, ".path_prefix"),
                     "needs service beside it: only a service's paths are compared");
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
    check.refuseUnknown(keyAt("plans", index, ".pool"), plan.pool.text, enginePoolsOf(fleet),
                        "the id of a pool of engines");
    const auto inPool = [&plan](const runner_spec &spec) { return spec.pool == plan.pool; };
    const auto engines = std::count_if(fleet.runners.begin(), fleet.runners.end(), inPool);
    if (engines > 0 && plan.minEngines > engines)
        check.refuse(keyAt("plans", index, ".min_engines"),
                     "is " + std::to_string(plan.minEngines) + ", but the pool has "
                             + std::to_string(engines) + " engines");
}

} // namespace

void checkInventory(const inventory_file &read, const toml::table &root, fault_sink &faults)
{
    const checker check{root, faults};
    const inventory &fleet = read.fleet;
    refuseRepeats(check, fleet.zones, "zones", "", [](const zone_id &zone) { return zone.text; });
    refuseRepeats(check, fleet.pools, "pools", ".id", idText);
    refuseRepeats(check, fleet.pools, "pools", ".service",
                  [](const pool_spec &pool) { return pool.service; });
    refuseRepeats(check, fleet.runners, "runners", ".id", idText);
    refuseRepeats(check, fleet.runners, "runners", ".address", addressText);
    refuseRepeats(check, read.defaults, "runner_defaults", ".pool",
                  [](const runner_spec &spec) { return spec.pool.text; });
    const auto pools = textsOf(fleet.pools, idText);
    for (std::size_t index = 0; index < read.defaults.size(); ++index)
        check.refuseUnknown(keyAt("runner_defaults", index, ".pool"),
                            read.defaults[index].pool.text, pools, "a pool's id");
    for (std::size_t index = 0; index < fleet.pools.size(); ++index)
        checkPool(check, fleet.pools[index], index);
    checkRunners(check, fleet);
}

void checkRules(const rules &book, const toml::table &root, fault_sink &faults)
{
    const checker check{root, faults};
    const toml::array *classList = root["classes"].as_array();
    if (!root.contains("classes") || (classList && classList->empty()))
        check.refuse("classes", "is missing, expected at least one class");
    refuseRepeats(check, book.classes, "classes", ".name", nameText);
    refuseRepeats(check, book.callers, "callers", ".id", idText);
    refuseRepeats(check, book.callers, "callers", ".key_sha256",
                  [](const policy::caller_rule &caller) { return caller.keySha256; });
    refuseRepeats(check, book.requests, "requests", ".name", nameText);
    refuseRepeats(check, book.plans, "plans", ".pool",
                  [](const policy::plan_rule &plan) { return plan.pool.text; });
    const auto classes = textsOf(book.classes, nameText);
    const auto callers = textsOf(book.callers, idText);
    for (std::size_t index = 0; index < book.callers.size(); ++index)
        check.refuseUnknown(keyAt("callers", index, ".class"), book.callers[index].priorityClass,
                            classes, "a class's name");
    for (std::size_t index = 0; index < book.requests.size(); ++index) {
        const request_rule &rule = book.requests[index];
        check.refuseUnknown(keyAt("requests", index, ".class"), rule.priorityClass, classes,
                            "a class's name");
        check.refuseUnknown(keyAt("requests", index, ".caller"), rule.caller.text, callers,
                            "a caller's id");
        checkRequest(check, rule, index);
    }
}

void checkRulesFor(const inventory &fleet, const rules &book, const toml::table &root,
                   fault_sink &faults)
{
    const checker check{root, faults};
    for (std::size_t index = 0; index < book.requests.size(); ++index) {
        const request_rule &rule = book.requests[index];
        check.refuseUnknown(keyAt("requests", index, ".model"), rule.model, modelsOf(fleet),
                            "a model that a pool serves");
        check.refuseUnknown(keyAt("requests", index, ".service"), rule.service, servicesOf(fleet),
                            "a service of the inventory");
    }
    for (std::size_t index = 0; index < book.plans.size(); ++index)
        checkPlan(check, fleet, book.plans[index], index);
}

} // namespace poplarspool::operators
