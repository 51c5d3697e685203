#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/base/result.h"
#include "poplarspool/policy/limits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::policy {

/// A priority class of requests; lower ranks are served first.
struct priority_class
{
    std::string name;
    std::uint32_t rank = 0;
    milliseconds timeLimit = config::defaultTimeLimit; ///< If the caller gives none.

    bool operator==(const priority_class &) const = default;
};

/// A caller that has access. If the rules list any callers, all others are refused.
struct caller_rule
{
    caller_id id;
    std::string keySha256; ///< SHA-256 of its bearer key, in hex.
    std::vector<workspace_id> workspaces; ///< Workspaces it may use; empty: any.
    std::string priorityClass; ///< For its requests, unless a request rule sets another one.

    bool operator==(const caller_rule &) const = default;
};

enum class retry_policy {
    Allowed, ///< Idempotent: may be retried after a failure.
    Never, ///< Runs at most once.
};

/// Settings for matching requests. Empty conditions match everything; the first matching rule
/// applies.
struct request_rule
{
    std::string name;
    caller_id caller;
    workspace_id workspace;
    std::string model; ///< Completions of this model.
    std::string service; ///< Calls of this plain service.
    std::string method; ///< HTTP method, such as "POST".
    std::string pathPrefix; ///< Prefix of the path within the service.

    std::string priorityClass; ///< Empty: the caller's class or the default.
    retry_policy repeat = retry_policy::Allowed;
    bool needsKey = false; ///< Refuse requests without an Idempotency-Key.

    bool operator==(const request_rule &) const = default;
};

/// Settings for planning the engine roles of a pool.
struct plan_rule
{
    pool_id pool;
    bool enabled = true;
    double goodputWeight = 0.5; ///< 1: maximize goodput only; 0: minimize role changes only.
    std::uint32_t maxChangesInFlight = 1;
    std::uint32_t minEngines = 1; ///< Minimum number of engines that stay in service.

    bool operator==(const plan_rule &) const = default;
};

/// Rules set by the operators.
struct rules
{
    std::vector<priority_class> classes; ///< At least one; the last one is the default.
    std::vector<caller_rule> callers;
    std::vector<request_rule> requests;
    std::vector<plan_rule> plans;
    std::chrono::seconds addressKeepTime = config::addressKeepTime;
    milliseconds claimKeepTime = config::claimRetention;
    double retryShare = config::retryShare;
    milliseconds drainTime = config::drainTimeout;

    bool operator==(const rules &) const = default;
};

/// Properties of a request that rules match.
struct request_facts
{
    caller_id caller;
    workspace_id workspace;
    std::string model; ///< Empty for a plain service.
    std::string service; ///< Empty for a completion.
    std::string method;
    std::string path; ///< Path within the service.

    bool operator==(const request_facts &) const = default;
};

/// Settings that result from the rules for one request.
struct effective_rules
{
    std::string priorityClass;
    std::uint32_t rank = 0;
    milliseconds timeLimit = config::defaultTimeLimit;
    retry_policy repeat = retry_policy::Allowed;
    bool needsKey = false;

    bool operator==(const effective_rules &) const = default;
};

/// If no request rule matches, completions may be repeated, and calls of plain services only if
/// HTTP defines their method as idempotent.
effective_rules effectiveRulesOf(const rules &ruleSet, const request_facts &facts);

/// @param bearerKey Key as received; empty if there was none.
/// @returns The caller; an invalid id if the rules list no callers, which allows all requests;
///          otherwise Unauthorized (not run).
result<caller_id> authenticateCaller(const rules &ruleSet, std::string_view bearerKey);

/// @returns Whether the caller may use the workspace.
bool mayUseWorkspace(const rules &ruleSet, const caller_id &caller, const workspace_id &workspace);

} // namespace poplarspool::policy
