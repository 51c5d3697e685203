#include "poplarspool/gateway/stage_plan.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace poplarspool::gateway {

namespace {

std::uint32_t countOf(std::span<const stage_engine> engines, engine_stage stage)
{
    return static_cast<std::uint32_t>(std::ranges::count(engines, stage, &stage_engine::stage));
}

/// Number of concurrent requests up to which an engine decodes without queueing.
double maxUnqueuedRequests(const engine_traits &traits)
{
    return std::max(1.0, traits.batch * config::decodeFillShare);
}

std::uint32_t minDecoders(std::size_t engines, const engine_traits &traits)
{
    const double share = traits.batch >= config::largeBatch ? config::decodeShareLargeBatch
                                                            : config::decodeShareSmallBatch;
    const auto byShare = static_cast<std::uint32_t>(std::ceil(share * double(engines)));
    return std::max(byShare, config::minDecoders);
}

/// The engines of one zone and stage that may change, the one with the fewest requests in flight
/// last.
struct zone_engines
{
    std::uint32_t remaining = 0; ///< Of that stage, those that are changing included.
    std::vector<const stage_engine *> changeable;
};

std::map<zone_id, zone_engines> enginesByZone(std::span<const stage_engine> engines,
                                              engine_stage stage)
{
    std::map<zone_id, zone_engines> zones;
    for (const stage_engine &one : engines) {
        if (one.stage != stage)
            continue;
        zone_engines &zone = zones[one.zone];
        ++zone.remaining;
        if (!one.isChanging)
            zone.changeable.push_back(&one);
    }
    for (auto &entry : zones)
        std::ranges::stable_sort(entry.second.changeable, std::ranges::greater{},
                                 &stage_engine::openRequests);
    return zones;
}

/// Takes the engine whose change costs least: from the zone with the most engines of the stage, so
/// that KV cache need not cross zones, and of those the one with the fewest requests in flight.
/// @returns Null if none may change.
const stage_engine *takeCheapest(std::map<zone_id, zone_engines> &zones)
{
    zone_engines *best = nullptr;
    for (auto &entry : zones) {
        zone_engines &zone = entry.second;
        if (zone.changeable.empty())
            continue;
        const bool isBetter = best == nullptr || zone.remaining > best->remaining
                || (zone.remaining == best->remaining
                    && zone.changeable.back()->openRequests
                            < best->changeable.back()->openRequests);
        if (isBetter)
            best = &zone;
    }
    if (best == nullptr)
        return nullptr;
    const stage_engine *const cheapest = best->changeable.back();
    best->changeable.pop_back();
    --best->remaining;
    return cheapest;
}

/// @returns The number of further engines that may start a change while requests are running.
std::size_t allowedChanges(std::span<const stage_engine> engines)
{
    const std::size_t maxChanges =
            std::max<std::size_t>(engines.size() / config::enginesPerChange, 1);
    const auto changing =
            static_cast<std::size_t>(std::ranges::count(engines, true, &stage_engine::isChanging));
    return maxChanges - std::min(maxChanges, changing);
}

} // namespace

stage_plan_state updateMeanRunning(const stage_plan_state &state,
                                   std::span<const stage_engine> engines, mono_time now)
{
    double running = 0;
    for (const stage_engine &one : engines)
        running += one.stage == engine_stage::Decode ? one.openRequests : 0;
    stage_plan_state next = state;
    next.updatedAt = now;
    if (state.updatedAt == mono_time{}) {
        next.meanRunning = running;
        return next;
    }
    const double passed = std::chrono::duration<double>(now - state.updatedAt).count();
    const double newest = 1 - std::exp(-passed / config::runningMeanSeconds);
    next.meanRunning += newest * (running - state.meanRunning);
    return next;
}

/// Prefill engines process prompts more than twice as fast as decode engines, and a prompt that is
/// processed on a decode engine delays all requests running there. So the number of decode engines
/// is kept to the minimum. But each change has a price and takes an engine away for seconds: in a
/// fleet with many more engines than its instances can send prompts to, it has no use.
std::uint32_t wantedDecoders(std::size_t engines, std::uint32_t decodersNow,
                             const engine_traits &traits, const stage_plan_state &state)
{
    const auto total = static_cast<std::uint32_t>(engines);
    const std::uint32_t minCount = minDecoders(engines, traits);
    const auto minPrefill = static_cast<std::uint32_t>(std::ceil(config::minPrefillShare * total));
    const std::uint32_t maxCount = std::max(total - std::min(total, minPrefill), minCount);
    const double needed = state.meanRunning / maxUnqueuedRequests(traits);
    if (needed > decodersNow)
        return std::clamp(static_cast<std::uint32_t>(std::ceil(needed)), minCount, maxCount);
    // An engine returns to prefill only if the others can take over its load with some headroom.
    const auto loaded = static_cast<std::uint32_t>(std::ceil(needed / config::decodeReturnShare));
    const std::uint32_t prefillNow = total - std::min(total, decodersNow);
    const std::uint32_t useful =
            state.maxUsefulPrefill - std::min(state.maxUsefulPrefill, prefillNow);
    const std::uint32_t kept = std::max(loaded, decodersNow - std::min(decodersNow, useful));
    return std::clamp(std::min(decodersNow, kept), minCount, maxCount);
}

std::vector<stage_change> planStages(std::span<const stage_engine> engines,
                                     const engine_traits &traits, const stage_plan_state &state)
{
    std::vector<stage_change> changes;
    if (engines.size() < config::minStagedEngines)
        return changes;
    const std::uint32_t decoders = countOf(engines, engine_stage::Decode);
    const std::uint32_t wanted = wantedDecoders(engines.size(), decoders, traits, state);
    const bool isMoreWanted = wanted > decoders;
    const engine_stage from = isMoreWanted ? engine_stage::Prefill : engine_stage::Decode;
    const engine_stage to = isMoreWanted ? engine_stage::Decode : engine_stage::Prefill;
    const std::uint32_t count = isMoreWanted ? wanted - decoders : decoders - wanted;
    auto zones = enginesByZone(engines, from);
    while (changes.size() < count) {
        const stage_engine *next = takeCheapest(zones);
        if (next == nullptr)
            break;
        changes.push_back({next->id, to});
    }
    return changes;
}

/// A crashed engine is back after a few seconds, and a change of stage takes as long. A change made
/// at once would be reverted as soon as it is complete, and both take engines out of service when
/// they are scarce. While no requests are running, changes cost nothing and are due at once.
std::vector<stage_change> dueChanges(std::span<const stage_engine> engines,
                                     const engine_traits &traits, stage_plan_state &state)
{
    std::vector<stage_change> planned = planStages(engines, traits, state);
    if (planned.empty()) {
        state.imbalancedSince = {};
        return planned;
    }
    if (state.imbalancedSince == mono_time{})
        state.imbalancedSince = state.updatedAt;
    if (state.meanRunning < config::idleRunningThreshold)
        return planned;
    const milliseconds delay = planned.front().wanted == engine_stage::Decode
            ? config::stageChangeDelay
            : config::stageReturnDelay;
    const bool isDue = state.updatedAt - state.imbalancedSince >= delay;
    planned.resize(isDue ? std::min(planned.size(), allowedChanges(engines)) : 0);
    return planned;
}

} // namespace poplarspool::gateway
