#include "operators/cross_checks.h"
#include "operators/file_keys.h"
#include "operators/value_rules.h"

namespace poplarspool::operators {

namespace {

using policy::caller_rule;
using policy::plan_rule;
using policy::priority_class;
using policy::repeat_rule;
using policy::request_rule;
using policy::rules;
using std::chrono::milliseconds;
using std::chrono::seconds;

table_keys<priority_class> classKeys()
{
    using c = priority_class;
    return {
            requiredKey<c>("name", "", &c::name, nameRule(), "Name of the class."),
            requiredKey<c>("rank", "", &c::rank, integerRule<std::uint32_t>(0, 1000),
                           "The lower, the earlier it is served."),
            optionalKey<c>("time_limit_ms", "ms", &c::timeLimit,
                           timeRule<milliseconds>(milliseconds(1), config::maxTimeLimit),
                           "Of its requests, where the caller names none."),
    };
}

table_keys<caller_rule> callerKeys()
{
    using c = caller_rule;
    const auto workspace = idRule<workspace_id>(textRule(1, config::maxNameBytes));
    return {
            requiredKey<c>("id", "", &c::id, idRule<caller_id>(nameRule()), "Name of the caller."),
            requiredKey<c>("key_sha256", "", &c::keySha256, sha256Rule(), "Of its bearer key."),
            optionalKey<c>("workspaces", "", &c::workspaces,
                           listRule(workspace, config::maxWorkspaces),
                           "Workspaces that it may name; none: any."),
            optionalKey<c>("class", "", &c::priorityClass, nameRule(),
                           "Of its requests, where no request rule says otherwise."),
    };
}

table_keys<request_rule> requestKeys()
{
    using r = request_rule;
    const auto repeat = choiceRule<repeat_rule>(
            {{"allowed", repeat_rule::Allowed}, {"never", repeat_rule::Never}});
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
            optionalKey<r>("model", "", &r::model, nameRule(), "Matches completions of it."),
            optionalKey<r>("service", "", &r::service, nameRule(), "Matches calls of it."),
            optionalKey<r>("method", "", &r::method, method, "Matches this method."),
            optionalKey<r>("path_prefix", "", &r::pathPrefix, pathRule(),
                           "Matches the service's own paths that begin so."),
            optionalKey<r>("class", "", &r::priorityClass, nameRule(),
                           "Class; none: the caller's, else the last class."),
            optionalKey<r>("repeat", "", &r::repeat, repeat,
                           "Whether it may be tried again; \"never\" runs at most once."),
            optionalKey<r>("needs_key", "", &r::needsKey, flagRule(),
                           "Refused where it has no Idempotency-Key."),
    };
}

table_keys<plan_rule> planKeys()
{
    using p = plan_rule;
    return {
            requiredKey<p>("pool", "", &p::pool, idRule<pool_id>(nameRule()), "A pool of engines."),
            optionalKey<p>("enabled", "", &p::enabled, flagRule(), "Whether roles are changed."),
            optionalKey<p>("goodput_weight", "", &p::goodputWeight, realRule(0, 1),
                           "1: only goodput counts; 0: only few role changes count."),
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
                         "Who may come in; where any is named, no one else."),
            tablesKey<r>("requests", &r::requests, requestKeys(), config::maxRequestRules,
                         "What holds for requests; the first rule that matches wins, and a key "
                         "left out matches all."),
            tablesKey<r>("plans", &r::plans, planKeys(), config::maxPools,
                         "How a pool's roles are planned."),
            optionalKey<r>("address_keep_seconds", "s", &r::addressKeepTime,
                           timeRule<seconds>(seconds(1), seconds(3600)),
                           "For which callers may keep the answer of /v1/addresses."),
            optionalKey<r>("claim_keep_seconds", "s", &r::claimKeepTime,
                           timeRule<milliseconds>(seconds(1), seconds(86400)),
                           "For which an idempotency key is remembered."),
            optionalKey<r>("retry_share", "", &r::retryShare, realRule(0, 1),
                           "Retries as a share of requests."),
            optionalKey<r>("drain_seconds", "s", &r::drainTime,
                           timeRule<milliseconds>(seconds(1), seconds(3600)),
                           "For which a planned change waits for running streams."),
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
