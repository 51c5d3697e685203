#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"
#include "poplarspool/config.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::policy {

/// A class of requests; the lower the rank, the earlier it is served.
struct priority_class
{
    std::string name;
    std::uint32_t rank = 0;
    milliseconds timeLimit = config::defaultTimeLimit; ///< Where the caller names none.

    bool operator==(const priority_class &) const = default;
};

/// A caller that may come in. Where the rules name any, no one else gets in.
struct caller_rule
{
    caller_id id;
    std::string keySha256; ///< Hex of the SHA-256 of its bearer key.
    std::vector<workspace_id> workspaces; ///< That it may name; empty: any.
    std::string priorityClass; ///< Of its requests where no request rule says otherwise.

    bool operator==(const caller_rule &) const = default;
};

enum class repeat_rule {
    Allowed, ///< Idempotent: may be tried again after a failure.
    Never, ///< Runs at most once.
};

/// What holds for requests that match. Empty members match all; the first rule that matches wins.
struct request_rule
{
    std::string name;
    caller_id caller;
    workspace_id workspace;
    std::string model; ///< Completions of this model.
    std::string service; ///< Calls of this plain service.
    std::string method; ///< Such as "POST".
    std::string pathPrefix; ///< Of the service's own path.

    std::string priorityClass; ///< Empty: the caller's or the default.
    repeat_rule repeat = repeat_rule::Allowed;
    bool needsKey = false; ///< Refuse without an Idempotency-Key.

    bool operator==(const request_rule &) const = default;
};

/// How a pool's roles are planned.
struct plan_rule
{
    pool_id pool;
    bool enabled = true;
    double goodputWeight = 0.5; ///< 1: only goodput counts; 0: only few role changes count.
    std::uint32_t maxChangesInFlight = 1;
    std::uint32_t minEngines = 1; ///< Engines that always stay in service.

    bool operator==(const plan_rule &) const = default;
};

/// The operators' rules.
struct rules
{
    std::vector<priority_class> classes; ///< At least one; the last one is the default.
    std::vector<caller_rule> callers;
    std::vector<request_rule> requests;
    std::vector<plan_rule> plans;
    std::chrono::seconds addressKeepTime = config::addressKeepTime;
    milliseconds claimKeepTime = config::claimKeepTime;
    double retryShare = config::retryShare;
    milliseconds drainTime = config::drainTime;

    bool operator==(const rules &) const = default;
};

/// What a request is, as far as rules look at it.
struct request_facts
{
    caller_id caller;
    workspace_id workspace;
    std::string model; ///< Empty for a plain service.
    std::string service; ///< Empty for a completion.
    std::string method;
    std::string path; ///< The service's own path.

    bool operator==(const request_facts &) const = default;
};

/// What the rules say of one request.
struct request_ruling
{
    std::string priorityClass;
    std::uint32_t rank = 0;
    milliseconds timeLimit = config::defaultTimeLimit;
    repeat_rule repeat = repeat_rule::Allowed;
    bool needsKey = false;

    bool operator==(const request_ruling &) const = default;
};

/// Where no request rule matches, completions may be repeated, and calls of plain services if HTTP
/// calls their method idempotent.
request_ruling rulingOf(const rules &book, const request_facts &facts);

/// @param bearerKey As it came in; empty where there was none.
/// @returns The caller; the invalid id where the rules name no callers and anyone may come in;
///          Unauthorized (not run) otherwise.
result<caller_id> admitCaller(const rules &book, std::string_view bearerKey);

/// @returns Whether that caller may act for that workspace.
bool mayUse(const rules &book, const caller_id &caller, const workspace_id &workspace);

} // namespace poplarspool::policy
