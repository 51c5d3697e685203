#include "operators/config_diff.h"

#include <algorithm>
#include <map>

namespace poplarspool::operators {

namespace {

using policy::runner_spec;

constexpr std::size_t maxSummarized = 8;

struct diff_list
{
    std::vector<std::string> entries;

    void added(std::string_view label, std::string_view name) { add('+', label, name); }
    void removed(std::string_view label, std::string_view name) { add('-', label, name); }
    void changed(std::string_view label, std::string_view name) { add('~', label, name); }
    void keyChanged(std::string_view key) { entries.push_back('~' + std::string(key)); }

private:
    void add(char sign, std::string_view label, std::string_view name)
    {
        std::string entry(1, sign);
        entry.append(label).append(" ").append(name);
        entries.push_back(std::move(entry));
    }
};

/// Compares two lists of named items.
/// @param nameOf Returns the name of an item.
/// @param changeOf Returns the keys in which two items of the same name differ.
template <class Item, class NameOf, class ChangeOf>
void compareItems(diff_list &diff, const std::string &label, const std::vector<Item> &from,
                  const std::vector<Item> &to, NameOf nameOf, ChangeOf changeOf)
{
    std::map<std::string, const Item *> before;
    for (const Item &item : from)
        before.emplace(nameOf(item), &item);
    for (const Item &item : to) {
        const std::string key = nameOf(item);
        const auto old = before.find(key);
        if (old == before.end()) {
            diff.added(label, key);
            continue;
        }
        if (!(*old->second == item))
            diff.changed(label, key + changeOf(*old->second, item));
        before.erase(old);
    }
    for (const auto &[key, item] : before)
        diff.removed(label, key);
}

std::string runnerChange(const runner_spec &from, const runner_spec &to)
{
    std::string keys;
    const auto compare = [&keys](std::string_view key, bool isSame) {
        if (isSame)
            return;
        keys += keys.empty() ? "" : ", ";
        keys += key;
    };
    compare("pool", from.pool == to.pool);
    compare("zone", from.zone == to.zone);
    compare("address", from.address == to.address);
    compare("checks_fence", from.checksFence == to.checksFence);
    compare("draining", from.isDraining == to.isDraining);
    compare("accelerators", from.accelerators == to.accelerators);
    compare("kv_pieces", from.kvPieces == to.kvPieces);
    compare("piece_tokens", from.pieceTokens == to.pieceTokens);
    compare("prefill_tokens_per_second", from.prefillTokensPerSecond == to.prefillTokensPerSecond);
    compare("decode_tokens_per_second", from.decodeTokensPerSecond == to.decodeTokensPerSecond);
    compare("concurrency", from.concurrency == to.concurrency);
    compare("may_carry", from.supportedModels == to.supportedModels);
    compare("adapters", from.adapters == to.adapters);
    return " (" + keys + ')';
}

template <class Item>
std::string noDetail(const Item & /*from*/, const Item & /*to*/)
{
    return "";
}

const auto idText = [](const auto &item) { return item.id.text; };
const auto nameText = [](const auto &item) { return item.name; };

void compareInventories(diff_list &diff, const policy::inventory &from, const policy::inventory &to)
{
    if (from.deployment != to.deployment)
        diff.keyChanged("deployment");
    if (from.zones != to.zones)
        diff.keyChanged("zones");
    compareItems(diff, "pool", from.pools, to.pools, idText, noDetail<policy::pool_spec>);
    compareItems(diff, "runner", from.runners, to.runners, idText, runnerChange);
}

void compareRules(diff_list &diff, const policy::rules &from, const policy::rules &to)
{
    compareItems(diff, "class", from.classes, to.classes, nameText,
                 noDetail<policy::priority_class>);
    compareItems(diff, "caller", from.callers, to.callers, idText, noDetail<policy::caller_rule>);
    compareItems(diff, "request", from.requests, to.requests, nameText,
                 noDetail<policy::request_rule>);
    const auto poolText = [](const policy::plan_rule &plan) { return plan.pool.text; };
    compareItems(diff, "plan", from.plans, to.plans, poolText, noDetail<policy::plan_rule>);
    if (from.addressKeepTime != to.addressKeepTime)
        diff.keyChanged("address_keep_seconds");
    if (from.claimKeepTime != to.claimKeepTime)
        diff.keyChanged("claim_keep_seconds");
    if (from.retryShare != to.retryShare)
        diff.keyChanged("retry_share");
    if (from.drainTime != to.drainTime)
        diff.keyChanged("drain_seconds");
}

} // namespace

std::vector<std::string> differences(const configuration &from, const configuration &to)
{
    diff_list diff;
    compareInventories(diff, from.fleet, to.fleet);
    compareRules(diff, from.ruleSet, to.ruleSet);
    // The items may be equal but ordered differently; the order of classes and of request rules is
    // significant.
    if (diff.entries.empty() && !(from == to))
        diff.keyChanged("order of classes or requests");
    return diff.entries;
}

std::string summaryOf(const std::vector<std::string> &differences)
{
    if (differences.empty())
        return "nothing";
    std::string text;
    const std::size_t shown = std::min(differences.size(), maxSummarized);
    for (std::size_t index = 0; index < shown; ++index) {
        text += index == 0 ? "" : ", ";
        text += differences[index];
    }
    if (shown < differences.size())
        text += " and " + std::to_string(differences.size() - shown) + " more";
    return text;
}

} // namespace poplarspool::operators
