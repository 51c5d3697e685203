#include "poplarspool/policy/rules.h"

#include "poplarspool/base/hash.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <array>

namespace poplarspool::policy {

namespace {

template <class Id>
bool matchesId(const Id &rule, const Id &fact)
{
    return !rule.isValid() || rule == fact;
}

bool matchesText(std::string_view rule, std::string_view fact)
{
    return rule.empty() || rule == fact;
}

bool matches(const request_rule &rule, const request_facts &facts)
{
    return matchesId(rule.caller, facts.caller) && matchesId(rule.workspace, facts.workspace)
            && matchesText(rule.model, facts.model) && matchesText(rule.service, facts.service)
            && matchesText(rule.method, facts.method) && facts.path.starts_with(rule.pathPrefix);
}

const caller_rule *findCaller(const rules &ruleSet, const caller_id &caller)
{
    const auto at = std::find_if(ruleSet.callers.begin(), ruleSet.callers.end(),
                                 [&](const caller_rule &rule) { return rule.id == caller; });
    return at == ruleSet.callers.end() ? nullptr : &*at;
}

const request_rule *findRule(const rules &ruleSet, const request_facts &facts)
{
    const auto at = std::find_if(ruleSet.requests.begin(), ruleSet.requests.end(),
                                 [&](const request_rule &rule) { return matches(rule, facts); });
    return at == ruleSet.requests.end() ? nullptr : &*at;
}

const priority_class *findClass(const rules &ruleSet, std::string_view name)
{
    const auto at = std::find_if(ruleSet.classes.begin(), ruleSet.classes.end(),
                                 [&](const priority_class &known) { return known.name == name; });
    return at == ruleSet.classes.end() ? nullptr : &*at;
}

/// @returns The class set by the rule, by the caller or by default, in this order. Unknown classes
///          are ignored.
const priority_class *classOf(const rules &ruleSet, const request_rule *rule,
                              const caller_rule *caller)
{
    if (rule)
        if (const auto *found = findClass(ruleSet, rule->priorityClass))
            return found;
    if (caller)
        if (const auto *found = findClass(ruleSet, caller->priorityClass))
            return found;
    return ruleSet.classes.empty() ? nullptr : &ruleSet.classes.back();
}

/// Default if no rule matches: a call of a plain service may be repeated only if HTTP defines its
/// method as idempotent. Otherwise a POST without a rule, such as an order, would be sent twice
/// after a connection failure.
retry_policy defaultRepeat(const request_facts &facts)
{
    constexpr std::array<std::string_view, 6> idempotent{"GET",    "HEAD",    "PUT",
                                                         "DELETE", "OPTIONS", "TRACE"};
    if (facts.service.empty())
        return retry_policy::Allowed;
    const bool isIdempotent =
            std::find(idempotent.begin(), idempotent.end(), facts.method) != idempotent.end();
    return isIdempotent ? retry_policy::Allowed : retry_policy::Never;
}

} // namespace

effective_rules effectiveRulesOf(const rules &ruleSet, const request_facts &facts)
{
    const request_rule *rule = findRule(ruleSet, facts);
    const priority_class *found = classOf(ruleSet, rule, findCaller(ruleSet, facts.caller));
    effective_rules ruling;
    if (found) {
        ruling.priorityClass = found->name;
        ruling.rank = found->rank;
        ruling.timeLimit = found->timeLimit;
    }
    ruling.repeat = rule ? rule->repeat : defaultRepeat(facts);
    ruling.needsKey = rule && rule->needsKey;
    return ruling;
}

result<caller_id> authenticateCaller(const rules &ruleSet, std::string_view bearerKey)
{
    if (ruleSet.callers.empty())
        return caller_id{};
    const std::string digest = sha256Hex(bearerKey);
    const caller_rule *found = nullptr;
    // Compares all bytes with every caller: the duration of a comparison that stops early would
    // reveal how much of a digest is correct.
    for (const caller_rule &rule : ruleSet.callers) {
        const bool isSameSize = rule.keySha256.size() == digest.size();
        const std::string &compared = isSameSize ? rule.keySha256 : digest;
        const bool isEqual = CRYPTO_memcmp(compared.data(), digest.data(), digest.size()) == 0;
        if (isSameSize && isEqual)
            found = &rule;
    }
    if (!found || bearerKey.empty())
        return notRun(error_code::Unauthorized, "bearer key missing or unknown");
    return found->id;
}

bool mayUseWorkspace(const rules &ruleSet, const caller_id &caller, const workspace_id &workspace)
{
    if (ruleSet.callers.empty())
        return true;
    const caller_rule *rule = findCaller(ruleSet, caller);
    if (!rule)
        return false;
    return rule->workspaces.empty()
            || std::find(rule->workspaces.begin(), rule->workspaces.end(), workspace)
            != rule->workspaces.end();
}

} // namespace poplarspool::policy
