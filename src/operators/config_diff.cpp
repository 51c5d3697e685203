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

    void came(std::string_view label, std::string_view name) { add('+', label, name); }
    void went(std::string_view label, std::string_view name) { add('-', label, name); }
    void changed(std::string_view label, std::string_view name) { add('~', label, name); }
    void changedKey(std::string_view key) { entries.push_back('~' + std::string(key)); }

private:
    void add(char sign, std::string_view label, std::string_view name)
    {
        std::string entry(1, sign);
        entry.append(label).append(" ").append(name);
        entries.push_back(std::move(entry));
    }
};

/// @param keyOf Names an item; @param changeOf says in which keys two of one name differ.
template <class Item, class KeyOf, class ChangeOf>
void compareItems(diff_list &diff, const std::string &label, const std::vector<Item> &from,
                  const std::vector<Item> &to, KeyOf keyOf, ChangeOf changeOf)
{
    std::map<std::string, const Item *> before;
    for (const Item &item : from)
        before.emplace(keyOf(item), &item);
    for (const Item &item : to) {
        const std::string key = keyOf(item);
        const auto old = before.find(key);
        if (old == before.end()) {
            diff.came(label, key);
            continue;
        }
        if (!(*old->second == item))
            diff.changed(label, key + changeOf(*old->second, item));
        before.erase(old);
    }
    for (const auto &[key, item] : before)
        diff.went(label, key);
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
    compare("may_carry", from.mayCarry == to.mayCarry);
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

void compareFleets(diff_list &diff, const policy::inventory &from, const policy::inventory &to)
{
    if (from.deployment != to.deployment)
        diff.changedKey("deployment");
    if (from.zones != to.zones)
        diff.changedKey("zones");
    compareItems(diff, "pool", from.pools, to.pools, idText, noDetail<policy::pool_spec>);
    compareItems(diff, "runner", from.runners, to.runners, idText, runnerChange);
}

void compareBooks(diff_list &diff, const policy::rules &from, const policy::rules &to)
{
    compareItems(diff, "class", from.classes, to.classes, nameText,
                 noDetail<policy::priority_class>);
    compareItems(diff, "caller", from.callers, to.callers, idText, noDetail<policy::caller_rule>);
    compareItems(diff, "request", from.requests, to.requests, nameText,
                 noDetail<policy::request_rule>);
    const auto poolText = [](const policy::plan_rule &plan) { return plan.pool.text; };
    compareItems(diff, "plan", from.plans, to.plans, poolText, noDetail<policy::plan_rule>);
    if (from.addressKeepTime != to.addressKeepTime)
        diff.changedKey("address_keep_seconds");
    if (from.claimKeepTime != to.claimKeepTime)
        diff.changedKey("claim_keep_seconds");
    if (from.retryShare != to.retryShare)
        diff.changedKey("retry_share");
    if (from.drainTime != to.drainTime)
        diff.changedKey("drain_seconds");
}

} // namespace

std::vector<std::string> differences(const configuration &from, const configuration &to)
{
    diff_list diff;
    compareFleets(diff, from.fleet, to.fleet);
    compareBooks(diff, from.book, to.book);
    // Equal sets may stand in another order, which counts for classes and request rules.
    if (diff.entries.empty() && !(from == to))
        diff.changedKey("order of classes or requests");
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
