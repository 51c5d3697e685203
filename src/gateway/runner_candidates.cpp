#include "gateway/candidate_sample.h"
#include "gateway/runner_table.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

/// Number of recorded times from which a runner is compared with its siblings.
constexpr std::uint32_t minStarts = 3;
constexpr std::array allStages{engine_stage::None, engine_stage::Decode, engine_stage::Prefill};

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// A sample of all runners might miss those of a version that few have.
const runner_ring &groupFor(const runner_set &runners, const candidate_query &query,
                            engine_stage stage)
{
    return query.version && stage != engine_stage::Prefill
            ? runners.groupOf(query.service, stage, *query.version)
            : runners.groupOf(query.service, stage);
}

void markLoneVersions(std::vector<placement_candidate> &candidates, const catalogue &known,
                      const service_id &service)
{
    if (known.soleVersions->contains(service))
        return;
    for (placement_candidate &one : candidates) {
        const runner &target = *one.target;
        const version_key version = versionKeyOf(target.version);
        one.isAloneInVersion = known.runners->groupOf(service, target.stage, version).size() == 1
                && known.runners->groupOf(service, target.stage).size() > 1;
    }
}

/// Adds the candidate unless its runner is among the candidates.
/// @returns The runner's candidate.
placement_candidate &addOnce(std::vector<placement_candidate> &candidates, placement_candidate one)
{
    const auto known = std::ranges::find(candidates, one.target, &placement_candidate::target);
    return known != candidates.end() ? *known : candidates.emplace_back(std::move(one));
}

} // namespace

void runner_table::countCachedTokens(const runner_record &entry,
                                     std::span<const prompt_part> prompt, placement_candidate &into)
{
    bool isPrefilled = true;
    for (const prompt_part &part : prompt) {
        const auto chain = static_cast<std::uint32_t>(part.chain);
        if (!entry.holds(chain))
            return;
        isPrefilled = isPrefilled && entry.cached.at(chain).isPrefilled;
        into.cachedTokens += part.tokens;
        into.copyableTokens += isPrefilled ? part.tokens : 0;
    }
}

/// @attention The caller must hold `guard`.
placement_candidate runner_table::candidateAt(const candidate_query &query,
                                              const runner_entry &target, mono_time now)
{
    placement_candidate one;
    one.target = target;
    one.isTried = std::ranges::find(query.tried, target->id) != query.tried.end();
    const std::map<engine_stage, engine_pace> &paceByStage = paces[query.service];
    if (const auto pace = paceByStage.find(target->stage); pace != paceByStage.end())
        one.load.pace = pace->second;
    if (const auto mix = rankMixes.find(query.service); mix != rankMixes.end())
        one.load.overtaking = mix->second.shares();
    const auto found = records.find(peer::runnerKey(target->id));
    if (found == records.end())
        return one;
    runner_record &entry = found->second;
    entry.beginIncarnation(target->startedAtMs);
    entry.capacity = query.engine == nullptr
            ? 0
            : static_cast<std::uint64_t>(config::cacheShare
                                         * static_cast<double>(query.engine->kvTokens));
    const work_sum &own = entry.own;
    const work_sum &others = entry.others;
    one.load.open = own.open + others.open;
    one.load.urgentWaiting = own.urgent.count + others.urgent.count;
    one.load.lateWaiting = own.late.count + others.late.count;
    one.load.urgentPrefillMs = own.urgent.prefillMs + others.urgent.prefillMs;
    one.load.latePrefillMs = own.late.prefillMs + others.late.prefillMs;
    for (std::size_t i = 0; i < one.load.lowerRanks.size(); ++i) {
        const waiting_work &mine = own.lowerRanks[i];
        const waiting_work &theirs = others.lowerRanks[i];
        one.load.lowerRanks[i] = {mine.count + theirs.count, mine.prefillMs + theirs.prefillMs};
    }
    one.load.runMs = entry.runMs;
    if (query.engine != nullptr)
        one.load.speedFactor =
                engine_model::factorOf(entry.speed, speeds[query.service][target->stage].medianLog);
    one.load.ejectedUntil = entry.ejectedUntil;
    one.isMisdirected =
            entry.misdirectedUntil > now && equalExceptWrites(entry.misdirected, *target);
    countCachedTokens(entry, query.prompt, one);
    return one;
}

/// The holders of the longest cached beginning of the prompt. The last part is the request's own.
/// @attention The caller must hold `guard`.
std::vector<placement_candidate>
runner_table::holdersOf(const catalogue &known, const candidate_query &query, mono_time now)
{
    std::vector<placement_candidate> found;
    for (std::size_t shared = query.prompt.size(); shared-- > 1;) {
        const auto part = static_cast<std::uint32_t>(query.prompt[shared - 1].chain);
        for (const std::uint32_t key : holders.holdersOf(part)) {
            const runner_entry target = known.runners->findByKey(key);
            if (!target || target->service != query.service)
                continue;
            placement_candidate holder = candidateAt(query, target, now);
            if (holder.copyableTokens > 0)
                addOnce(found, std::move(holder));
            if (found.size() == config::maxCopySources)
                return found;
        }
    }
    return found;
}

std::vector<placement_candidate> runner_table::candidatesOf(const catalogue &known,
                                                            const candidate_query &query)
{
    std::vector<placement_candidate> candidates;
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    expireSilentPeers(now);
    for (const engine_stage stage : allStages) {
        if (query.engine != nullptr)
            updateSpeeds(known.runners->groupOf(query.service, stage), speeds[query.service][stage],
                         now);
        const runner_ring &group = groupFor(*known.runners, query, stage);
        for (const runner_entry &target : sampleOf(group, query.draw))
            candidates.push_back(candidateAt(query, target, now));
        std::uint32_t rank = 0;
        for (const runner_entry &target : preferredOf(group, query.affinityKey))
            addOnce(candidates, candidateAt(query, target, now)).affinityRank = rank++;
    }
    for (placement_candidate &holder : holdersOf(known, query, now))
        addOnce(candidates, std::move(holder));
    for (const runner_id &id : query.tried) {
        const runner_entry target = known.runners->find(id);
        if (target && target->service == query.service)
            addOnce(candidates, candidateAt(query, target, now));
    }
    estimateSlowness(candidates, now);
    markLoneVersions(candidates, known, query.service);
    return candidates;
}

std::vector<runner_use> runner_table::usesOf(std::span<const runner_entry> targets)
{
    std::vector<runner_use> uses;
    uses.reserve(targets.size());
    const std::lock_guard lock(guard);
    expireSilentPeers(clock.mono());
    for (const runner_entry &target : targets) {
        const auto found = records.find(peer::runnerKey(target->id));
        uses.push_back(found == records.end()
                               ? runner_use{}
                               : runner_use{found->second.own.open + found->second.others.open,
                                            found->second.runMs});
    }
    return uses;
}

/// Compares slow runners with their siblings, since the duration of a request depends on the load
/// of all.
void runner_table::estimateSlowness(std::vector<placement_candidate> &candidates,
                                    mono_time now) const
{
    const auto meanOf = [&](const placement_candidate &one) {
        const auto found = records.find(peer::runnerKey(one.target->id));
        const bool isKnown = found != records.end() && found->second.starts >= minStarts
                && now - found->second.lastStartAt <= config::slownessExpiry;
        // Lasting differences of speed are part of the placement already.
        return isKnown ? found->second.meanStartMs / one.load.speedFactor : 0.0;
    };
    std::vector<double> means;
    for (const placement_candidate &one : candidates) {
        const double mean = meanOf(one);
        if (mean > 0)
            means.push_back(mean);
    }
    if (means.size() < 2)
        return;
    const double usual = std::max(medianOf(means), config::minMedianStartMs);
    for (placement_candidate &one : candidates) {
        const double ratio = meanOf(one) / usual;
        if (ratio > config::slowRatio)
            one.load.slowness = std::min(ratio, config::maxSlowness);
    }
}

} // namespace poplarspool::gateway
