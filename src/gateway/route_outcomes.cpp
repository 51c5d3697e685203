#include "gateway/route_outcomes.h"

#include "poplarspool/gateway/limits.h"

namespace poplarspool::gateway {

namespace {

constexpr std::array<std::string_view, 4> answerNames{"in_time", "late", "refused", "failed"};

/// Escapes a label value for the Prometheus text format: names are set by operators and may contain
/// any character.
std::string escapedLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

/// Of the gateway's own errors, only those below 500 and 503 guarantee that the request has not
/// run.
bool mayHaveRun(int status)
{
    return status >= 500 && status != 503;
}

} // namespace

route_outcome outcomeOf(const route &owner, const ended_request &ended)
{
    if (ended.fault == callerGoneFault)
        return route_outcome::CallerGone;
    const bool wasPassedOn = ended.status == 0;
    if (wasPassedOn && !ended.fault.empty())
        return route_outcome::Failed;
    if (!wasPassedOn && !ended.isRunnersReply)
        return mayHaveRun(ended.status) ? route_outcome::Failed : route_outcome::Refused;
    if (ended.status >= 500)
        return route_outcome::Failed;
    const auto time = wasPassedOn && owner.isStream ? ended.untilFirstByte : ended.untilEnd;
    return time <= owner.latencyObjective ? route_outcome::InTime : route_outcome::Late;
}

route_outcomes::route_outcomes(metrics_registry &registry)
    : registry(registry), others(createCounters("other"))
{ }

void route_outcomes::record(const route *owner, const ended_request &ended)
{
    if (owner == nullptr)
        return;
    const route_counters counters = countersFor(owner->name);
    counters.asked->add();
    const route_outcome outcome = outcomeOf(*owner, ended);
    if (outcome != route_outcome::CallerGone)
        counters.answers[static_cast<std::size_t>(outcome)]->add();
}

/// A route keeps its counters when it is removed from the configuration, since counters must never
/// decrease.
route_outcomes::route_counters route_outcomes::countersFor(const std::string &name)
{
    const std::lock_guard lock(mutex);
    const auto found = countersByName.find(name);
    if (found != countersByName.end())
        return found->second;
    if (countersByName.size() >= config::maxCountedRoutes)
        return others;
    return countersByName.emplace(name, createCounters(name)).first->second;
}

route_outcomes::route_counters route_outcomes::createCounters(std::string_view name)
{
    const std::string label = "route=\"" + escapedLabel(name) + "\"";
    route_counters counters;
    counters.asked = &registry.counterOf("poplarspool_gateway_route_requests_total{" + label + "}");
    for (std::size_t i = 0; i < answerNames.size(); ++i) {
        counters.answers[i] =
                &registry.counterOf("poplarspool_gateway_route_answers_total{" + label + ",end=\""
                                    + std::string(answerNames[i]) + "\"}");
    }
    return counters;
}

} // namespace poplarspool::gateway
