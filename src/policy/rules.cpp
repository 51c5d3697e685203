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

const caller_rule *findCaller(const rules &book, const caller_id &caller)
{
    const auto at = std::find_if(book.callers.begin(), book.callers.end(),
                                 [&](const caller_rule &rule) { return rule.id == caller; });
    return at == book.callers.end() ? nullptr : &*at;
}

const request_rule *findRule(const rules &book, const request_facts &facts)
{
    const auto at = std::find_if(book.requests.begin(), book.requests.end(),
                                 [&](const request_rule &rule) { return matches(rule, facts); });
    return at == book.requests.end() ? nullptr : &*at;
}

const priority_class *findClass(const rules &book, std::string_view name)
{
    const auto at = std::find_if(book.classes.begin(), book.classes.end(),
                                 [&](const priority_class &known) { return known.name == name; });
    return at == book.classes.end() ? nullptr : &*at;
}

/// @returns The most particular class that is named and known.
const priority_class *classOf(const rules &book, const request_rule *rule,
                              const caller_rule *caller)
{
    if (rule)
        if (const auto *found = findClass(book, rule->priorityClass))
            return found;
    if (caller)
        if (const auto *found = findClass(book, caller->priorityClass))
            return found;
    return book.classes.empty() ? nullptr : &book.classes.back();
}

/// What holds where no rule matches: a plain service's call may be repeated only if HTTP calls its
/// method idempotent. Otherwise a POST that the operators forgot to name, such as an order, would
/// be sent out twice after a broken connection.
repeat_rule defaultRepeat(const request_facts &facts)
{
    constexpr std::array<std::string_view, 6> idempotent{"GET",    "HEAD",    "PUT",
                                                         "DELETE", "OPTIONS", "TRACE"};
    if (facts.service.empty())
        return repeat_rule::Allowed;
    const bool isIdempotent =
            std::find(idempotent.begin(), idempotent.end(), facts.method) != idempotent.end();
    return isIdempotent ? repeat_rule::Allowed : repeat_rule::Never;
}

} // namespace

request_ruling rulingOf(const rules &book, const request_facts &facts)
{
    const request_rule *rule = findRule(book, facts);
    const priority_class *found = classOf(book, rule, findCaller(book, facts.caller));
    request_ruling ruling;
    if (found) {
        ruling.priorityClass = found->name;
        ruling.rank = found->rank;
        ruling.timeLimit = found->timeLimit;
    }
    ruling.repeat = rule ? rule->repeat : defaultRepeat(facts);
    ruling.needsKey = rule && rule->needsKey;
    return ruling;
}

result<caller_id> admitCaller(const rules &book, std::string_view bearerKey)
{
    if (book.callers.empty())
        return caller_id{};
    const std::string digest = sha256Hex(bearerKey);
    const caller_rule *found = nullptr;
    // Compares with each caller to the last byte: a comparison that stops early tells by its time
    // how much of a digest is right.
    for (const caller_rule &rule : book.callers) {
        const bool isSameSize = rule.keySha256.size() == digest.size();
        const std::string &other = isSameSize ? rule.keySha256 : digest;
        const bool isEqual = CRYPTO_memcmp(other.data(), digest.data(), digest.size()) == 0;
        if (isSameSize && isEqual)
            found = &rule;
    }
    if (!found || bearerKey.empty())
        return notRun(error_code::Unauthorized, "no or an unknown bearer key");
    return found->id;
}

bool mayUse(const rules &book, const caller_id &caller, const workspace_id &workspace)
{
    if (book.callers.empty())
        return true;
    const caller_rule *rule = findCaller(book, caller);
    if (!rule)
        return false;
    return rule->workspaces.empty()
            || std::find(rule->workspaces.begin(), rule->workspaces.end(), workspace)
            != rule->workspaces.end();
}

} // namespace poplarspool::policy
