#include "poplarspool/policy/routing.h"

#include "engine_estimate.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/policy/limits.h"
#include "spread.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace poplarspool::policy {

namespace {

/// Inputs of one routing decision, and values shared by all its candidates.
struct routing_task
{
    const view &now;
    const route_request &wanted;
    std::span<const sent_work> sent;
    load_query query;
    std::uint64_t tieBreak;
    std::uint32_t zone = UINT32_MAX;
    double secondsLeft = 0;
};

struct scored_runner
{
    const indexed_candidate *candidate = nullptr;
    time_estimate estimate;
    double ahead = 0;
};

/// Candidates that can serve the request in time, and data for the refusal if there are none.
struct shortlist
{
    std::array<scored_runner, config::maxScoredRunners> runners;
    std::array<double, config::maxScoredRunners> scores;
    std::size_t count = 0;
    std::size_t evaluated = 0;
    bool hasFitting = false;
    double earliestEnd = std::numeric_limits<double>::infinity();
    double aheadSum = 0;
    double openSum = 0;
    double ageSum = 0; ///< Age of the reports, in seconds.
    double endSum = 0;
};

const sent_work &sentTo(const routing_task &task, runner_handle runner)
{
    static const sent_work nothing;
    return runner.index < task.sent.size() ? task.sent[runner.index] : nothing;
}

bool isAvoided(const route_request &wanted, runner_handle runner)
{
    return std::find(wanted.avoid.begin(), wanted.avoid.end(), runner) != wanted.avoid.end();
}

/// @returns Whether the engine has the model loaded. Before its first report it is assumed to have
///          the models of its pool; after that the last report counts, regardless of its age, since
///          models change by order only.
bool hasModel(const routing_task &task, const indexed_candidate &candidate)
{
    const runner_state &state = task.now.runners[candidate.runner.index];
    if (state.reportedAt == mono_time{})
        return candidate.facts.isModelExpected;
    return std::any_of(
            state.report.models.begin(), state.report.models.end(),
            [&](const model_version &loaded) { return loaded.model == task.wanted.model; });
}

engine_role roleOf(const routing_task &task, const indexed_candidate &candidate)
{
    const runner_state &state = task.now.runners[candidate.runner.index];
    return state.reportedAt == mono_time{} ? candidate.facts.startRole : state.report.role;
}

bool isAvailable(const routing_task &task, const indexed_candidate &candidate)
{
    if (!isOpenForWork(task.now.runners[candidate.runner.index])
        || isAvoided(task.wanted, candidate.runner))
        return false;
    return !task.wanted.service.empty() || hasModel(task, candidate);
}

scored_runner scoreOf(const routing_task &task, const indexed_candidate &candidate)
{
    const runner_state &state = task.now.runners[candidate.runner.index];
    const runner_rates &rates = candidate.facts.rates;
    const runner_load load = estimateLoad(rates, state, sentTo(task, candidate.runner), task.query);
    scored_runner scored{&candidate, {}, load.requestsAhead};
    if (task.wanted.service.empty())
        scored.estimate = estimateEngine(rates, roleOf(task, candidate), load, task.wanted);
    else
        scored.estimate = estimateService(rates, load);
    if (task.zone != UINT32_MAX && candidate.facts.zone != task.zone)
        scored.estimate.score +=
                config::crossZoneSeconds + config::crossZoneShare * scored.estimate.endSeconds;
    return scored;
}

bool canFinishInTime(const routing_task &task, const scored_runner &scored)
{
    return scored.estimate.fits && scored.estimate.endSeconds <= task.secondsLeft;
}

double reportAge(const routing_task &task, const indexed_candidate &candidate)
{
    const mono_time reported = task.now.runners[candidate.runner.index].reportedAt;
    const auto age = std::clamp<std::chrono::nanoseconds>(task.query.time - reported, {},
                                                          config::loadReportExpiry);
    return std::chrono::duration<double>(age).count();
}

void addIfSuitable(const routing_task &task, const indexed_candidate &candidate, shortlist &found)
{
    const scored_runner scored = scoreOf(task, candidate);
    ++found.evaluated;
    if (!scored.estimate.fits)
        return;
    found.hasFitting = true;
    found.earliestEnd = std::min(found.earliestEnd, scored.estimate.endSeconds);
    if (!canFinishInTime(task, scored))
        return;
    found.runners[found.count] = scored;
    found.scores[found.count] = scored.estimate.score;
    ++found.count;
    found.aheadSum += scored.ahead;
    found.openSum += sentTo(task, candidate.runner).open;
    found.ageSum += reportAge(task, candidate);
    found.endSum += scored.estimate.endSeconds;
}

/// Scores candidates, starting at a random index, until the shortlist is full or the maximum number
/// of candidates has been evaluated. Each decision scores a different part of a long list, so its
/// cost is bounded even if no runner can take the request.
void scan(const routing_task &task, const candidate_list &list, bool decodeRole, shortlist &found)
{
    const std::vector<indexed_candidate> &runners = list.runners;
    std::size_t at = runners.empty() ? 0 : mixBits(task.tieBreak) % runners.size();
    for (std::size_t left = runners.size(); left > 0; --left) {
        if (found.count == found.runners.size() || found.evaluated == config::maxEvaluatedRunners)
            return;
        const indexed_candidate &candidate = runners[at];
        at = at + 1 < runners.size() ? at + 1 : 0;
        if ((roleOf(task, candidate) == engine_role::Decode) != decodeRole)
            continue;
        if (isAvailable(task, candidate))
            addIfSuitable(task, candidate, found);
    }
}

/// @returns The two candidates with the highest rendezvous weights for the prefix, in descending
///          order.
std::array<const indexed_candidate *, 2> preferredOf(std::uint64_t prefixHash,
                                                     const candidate_list &list)
{
    std::array<const indexed_candidate *, 2> best{};
    std::array<std::uint64_t, 2> weights{};
    for (std::size_t at = 0; at < list.idHashes.size(); ++at) {
        const std::uint64_t weight = spreadBits(prefixHash ^ list.idHashes[at]);
        if (weight <= weights[1])
            continue;
        weights[1] = weight;
        best[1] = &list.runners[at];
        if (weights[1] > weights[0]) {
            std::swap(weights[0], weights[1]);
            std::swap(best[0], best[1]);
        }
    }
    return best;
}

/// @returns Whether the expected cache hit outweighs the load of the preferred engine. Without
///          these bounds a prefix that all callers use would overload one engine while the others
///          are idle.
bool outweighsLoad(const routing_task &task, const scored_runner &preferred, const shortlist &found)
{
    const double mean = found.aheadSum / static_cast<double>(found.count);
    if (preferred.ahead > mean * config::affinityLoadFactor + config::affinityLoadSlack)
        return false;
    double earliestStart = preferred.estimate.startSeconds;
    for (std::size_t at = 0; at < found.count; ++at)
        earliestStart = std::min(earliestStart, found.runners[at].estimate.startSeconds);
    const double saved =
            task.wanted.promptTokens * preferred.candidate->facts.rates.prefillTokenSeconds;
    return preferred.estimate.startSeconds <= earliestStart + saved * config::affinityWaitShare;
}

std::optional<scored_runner> chooseByPrefix(const routing_task &task, const candidate_list &list,
                                            const shortlist &found)
{
    if (task.wanted.prefixHash == 0)
        return std::nullopt;
    for (const indexed_candidate *candidate : preferredOf(task.wanted.prefixHash, list)) {
        if (!candidate || !isAvailable(task, *candidate)
            || roleOf(task, *candidate) == engine_role::Decode)
            continue;
        const scored_runner scored = scoreOf(task, *candidate);
        if (canFinishInTime(task, scored) && outweighsLoad(task, scored, found))
            return scored;
    }
    return std::nullopt;
}

/// @returns Seconds by which one more request of this kind raises a runner's score.
double costOf(const routing_task &task, const runner_rates &rates)
{
    if (!task.wanted.service.empty())
        return config::typicalServiceSeconds / rates.slots;
    return task.wanted.promptTokens * rates.prefillTokenSeconds
            + task.wanted.outputTokens * rates.decodeTokenSeconds;
}

/// @returns Estimated number of requests that other instances have sent since the reports. Each
///          instance is assumed to have as many open requests as this one, plus a small constant,
///          because an instance with little traffic has no open requests most of the time. By
///          Little's law their rate is the number of open requests divided by their duration.
double unseenRequests(const routing_task &task, const shortlist &found)
{
    const auto alive =
            std::count_if(task.now.members.begin(), task.now.members.end(),
                          [](const member &peer) { return peer.state == member_state::Alive; });
    const double peers = std::max<double>(0, static_cast<double>(alive) - 1);
    const double open = peers * (found.openSum + config::unseenPeerRequests);
    return open * found.ageSum / std::max(found.endSum, config::minTokenSeconds);
}

scored_runner chooseByLoad(const routing_task &task, const shortlist &found)
{
    const std::span<const double> scores(found.scores.data(), found.count);
    const double unseen =
            unseenRequests(task, found) * costOf(task, found.runners[0].candidate->facts.rates);
    return found.runners[drawByWaterFilling(scores, unseen, task.tieBreak)];
}

milliseconds millisecondsOf(double seconds)
{
    return milliseconds(std::llround(seconds * 1000));
}

milliseconds retryAfterOf(double seconds)
{
    const double limit = std::chrono::duration<double>(config::maxRetryAfter).count();
    return std::clamp(millisecondsOf(std::min(seconds, limit)), config::minRetryAfter,
                      config::maxRetryAfter);
}

error refusalOf(const routing_task &task, const shortlist &found)
{
    if (found.evaluated == 0)
        return notRun(error_code::Unavailable, "no runner for the request is available",
                      config::noRunnerRetryAfter);
    if (!found.hasFitting)
        return notRun(error_code::TooLarge,
                      "prompt and output exceed the KV memory of every evaluated engine");
    return notRun(error_code::Overloaded, "request can't finish within its time limit",
                  retryAfterOf(found.earliestEnd - task.secondsLeft));
}

result<route_choice> choose(const routing_task &task, const candidate_list &list)
{
    shortlist found;
    scan(task, list, false, found);
    if (found.count == 0)
        scan(task, list, true, found);
    if (found.count == 0)
        return refusalOf(task, found);
    const auto preferred = chooseByPrefix(task, list, found);
    const scored_runner chosen = preferred ? *preferred : chooseByLoad(task, found);
    return route_choice{chosen.candidate->runner, millisecondsOf(chosen.estimate.startSeconds),
                        millisecondsOf(chosen.estimate.endSeconds)};
}

result<route_choice> routeByIndex(const view &now, const route_request &wanted,
                                  std::span<const sent_work> sent, mono_time time,
                                  std::uint64_t tieBreak, const view_index &index)
{
    const bool isService = !wanted.service.empty();
    const auto &table = isService ? index.services : index.models;
    const auto list = table.find(isService ? wanted.service : wanted.model);
    if (list == table.end())
        return notRun(error_code::NotFound, "no runner for that model or service");
    routing_task task{now, wanted, sent, loadQueryFor(wanted.rank, time), tieBreak};
    task.secondsLeft = std::chrono::duration<double>(wanted.timeLeft).count();
    if (const auto zone = index.zones.find(wanted.zone.text); zone != index.zones.end())
        task.zone = zone->second;
    return choose(task, list->second);
}

} // namespace

result<route_choice> route(const view &now, const route_request &wanted,
                           std::span<const sent_work> sent, mono_time time, std::uint64_t tieBreak)
{
    if (!now.fleet || now.runners.size() != now.fleet->runners.size())
        return notRun(error_code::Unavailable, "inventory not loaded yet",
                      config::noRunnerRetryAfter);
    if (now.index && now.index->fleet == now.fleet)
        return routeByIndex(now, wanted, sent, time, tieBreak, *now.index);
    return routeByIndex(now, wanted, sent, time, tieBreak, indexOf(now.fleet));
}

std::uint32_t estimateTokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>(prompt.size() / config::bytesPerToken + 1);
}

std::uint64_t prefixHashOf(std::string_view model, std::string_view prompt)
{
    if (prompt.size() < config::affinityPrefixBytes)
        return 0;
    const std::uint64_t hash = hashOf(prompt.substr(0, config::affinityPrefixBytes), hashOf(model));
    return hash != 0 ? hash : 1;
}

} // namespace poplarspool::policy
