#include "operators/cross_checks.h"
#include "operators/file_keys.h"
#include "operators/value_rules.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/operators/limits.h"

namespace poplarspool::operators {

namespace {

using policy::caller_rule;
using policy::plan_rule;
using policy::priority_class;
using policy::request_rule;
using policy::retry_policy;
using policy::rules;
using std::chrono::milliseconds;
using std::chrono::seconds;

table_keys<priority_class> classKeys()
{
    using c = priority_class;
    return {
            requiredKey<c>("name", "", &c::name, nameRule(), "Name of the class."),
            requiredKey<c>("rank", "", &c::rank, integerRule<std::uint32_t>(0, 1000),
                           "Priority; requests of a class with a lower rank are served first."),
            optionalKey<c>("time_limit_ms", "ms", &c::timeLimit,
                           timeRule<milliseconds>(milliseconds(1), config::maxTimeLimit),
                           "Time limit of its requests where the caller sets none."),
    };
}

table_keys<caller_rule> callerKeys()
{
    using c = caller_rule;
    const auto workspace = idRule<workspace_id>(textRule(1, config::maxNameBytes));
    return {
            requiredKey<c>("id", "", &c::id, idRule<caller_id>(nameRule()), "Name of the caller."),
            requiredKey<c>("key_sha256", "", &c::keySha256, sha256Rule(),
                           "SHA-256 of its bearer key."),
            optionalKey<c>("workspaces", "", &c::workspaces,
                           listRule(workspace, config::maxWorkspaces),
                           "Workspaces that it may use; without any, it may use all."),
            optionalKey<c>("class", "", &c::priorityClass, nameRule(),
                           "Class of its requests where no request rule sets one."),
    };
}

table_keys<request_rule> requestKeys()
{
    using r = request_rule;
    const auto repeat = choiceRule<retry_policy>(
            {{"allowed", retry_policy::Allowed}, {"never", retry_policy::Never}});
    const auto method = choiceRule<std::string>({{"GET", "GET"},
                                                 {"HEAD", "HEAD"},
                                                 {"POST", "POST"},
                                                 {"PUT", "PUT"},
                                                 {"PATCH", "PATCH"},
                                                 {"DELETE", "DELETE"},
                                                 {"OPTIONS", "OPTIONS"}});
    const auto workspace = idRule<workspace_id>(textRule(1, config::maxNameBytes));
    return {
            requiredKey<r>("name", "", &r::name, nameRule(), "Name of the rule."),
            optionalKey<r>("caller", "", &r::caller, idRule<caller_id>(nameRule()),
                           "Matches this caller."),
            optionalKey<r>("workspace", "", &r::workspace, workspace, "Matches this workspace."),
            optionalKey<r>("model", "", &r::model, nameRule(),
                           "Matches completions of this model."),
            optionalKey<r>("service", "", &r::service, nameRule(),
                           "Matches calls of this service."),
            optionalKey<r>("method", "", &r::method, method, "Matches this method."),
            optionalKey<r>("path_prefix", "", &r::pathPrefix, pathRule(),
                           "Matches paths of the service with this prefix."),
            optionalKey<r>("class", "", &r::priorityClass, nameRule(),
                           "Class of the request; without it the caller's class, otherwise the "
                           "last class."),
            optionalKey<r>(
                    "repeat", "", &r::repeat, repeat,
                    "Whether the request may be retried; with \"never\" it runs at most once."),
            optionalKey<r>("needs_key", "", &r::needsKey, flagRule(),
                           "Whether requests without an Idempotency-Key are refused."),
    };
}

table_keys<plan_rule> planKeys()
{
    using p = plan_rule;
    return {
            requiredKey<p>("pool", "", &p::pool, idRule<pool_id>(nameRule()), "A pool of engines."),
            optionalKey<p>("enabled", "", &p::enabled, flagRule(),
                           "Whether the planner changes roles."),
            optionalKey<p>("goodput_weight", "", &p::goodputWeight, realRule(0, 1),
                           "Weight of goodput against few role changes: 1 considers only goodput, "
                           "0 only role changes."),
            optionalKey<p>("max_changes_in_flight", "engines", &p::maxChangesInFlight,
                           integerRule<std::uint32_t>(1, 64), "Engines changed at the same time."),
            optionalKey<p>("min_engines", "engines", &p::minEngines,
                           integerRule<std::uint32_t>(0, config::maxRunners),
                           "Engines that always stay in service."),
    };
}

table_keys<rules> allKeys()
{
    using r = rules;
    return {
            tablesKey<r>("classes", &r::classes, classKeys(), config::maxClasses,
                         "Classes of requests, at least one; the last one is the default."),
            tablesKey<r>("callers", &r::callers, callerKeys(), config::maxCallers,
                         "Callers that are admitted; without any, every caller is."),
            tablesKey<r>("requests", &r::requests, requestKeys(), config::maxRequestRules,
                         "Rules for requests; the first match applies, and an omitted key matches "
                         "every request."),
            tablesKey<r>("plans", &r::plans, planKeys(), config::maxPools,
                         "Planning of the engine roles of a pool."),
            optionalKey<r>("address_keep_seconds", "s", &r::addressKeepTime,
                           timeRule<seconds>(seconds(1), seconds(3600)),
                           "Time for which callers may cache the reply of /v1/addresses."),
            optionalKey<r>("claim_keep_seconds", "s", &r::claimKeepTime,
                           timeRule<milliseconds>(seconds(1), seconds(86400)),
                           "Time for which an idempotency key is remembered."),
            optionalKey<r>("retry_share", "", &r::retryShare, realRule(0, 1),
                           "Retries as a share of requests."),
            optionalKey<r>("drain_seconds", "s", &r::drainTime,
                           timeRule<milliseconds>(seconds(1), seconds(3600)),
                           "Time for which a planned change waits for running streams."),
    };
}

} // namespace

const table_keys<rules> &rulesKeys()
{
    static const table_keys<rules> keys = allKeys();
    return keys;
}

parse_result<rules> parseRules(const std::string &file, std::string_view text)
{
    diagnostic_sink diagnostics(file);
    rules ruleSet;
    const toml::table root = parseToml(text, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    readTable(root, "", rulesKeys(), ruleSet, diagnostics);
    checkRules(ruleSet, root, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    return ruleSet;
}

} // namespace poplarspool::operators
