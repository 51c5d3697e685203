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

/// Requests at once up to which an engine makes tokens at a good pace.
double comfortableRunning(const engine_traits &traits)
{
    return std::max(1.0, traits.batch * config::decodeFillShare);
}

std::uint32_t leastDecoders(std::size_t engines, const engine_traits &traits)
{
    const double share = traits.batch >= config::largeBatch ? config::decodeShareLargeBatch
                                                            : config::decodeShareSmallBatch;
    const auto byShare = static_cast<std::uint32_t>(std::ceil(share * double(engines)));
    return std::max(byShare, config::decodersAtLeast);
}

/// The engine of that stage that loses least by a change: from the zone that has most of the stage,
/// so that KV cache need not cross zones, and among those the one that runs least.
const stage_engine *cheapest(std::span<const stage_engine> engines, engine_stage stage,
                             const std::vector<stage_change> &taken)
{
    std::map<zone_id, std::uint32_t> left;
    const auto isOpen = [&](const stage_engine &one) {
        return one.stage == stage
                && std::ranges::find(taken, one.id, &stage_change::engine) == taken.end();
    };
    for (const stage_engine &one : engines) {
        if (isOpen(one))
            ++left[one.zone];
    }
    const stage_engine *best = nullptr;
    for (const stage_engine &one : engines) {
        if (!isOpen(one) || one.isChanging)
            continue;
        const bool isBetter = best == nullptr || left[one.zone] > left[best->zone]
                || (left[one.zone] == left[best->zone] && one.open < best->open);
        if (isBetter)
            best = &one;
    }
    return best;
}

/// @returns Engines that may begin to change while requests run.
std::size_t changesLeft(std::span<const stage_engine> engines)
{
    const std::size_t most = std::max<std::size_t>(engines.size() / config::enginesPerChange, 1);
    const auto under =
            static_cast<std::size_t>(std::ranges::count(engines, true, &stage_engine::isChanging));
    return most - std::min(most, under);
}

} // namespace

stage_memory noteRunning(const stage_memory &memory, std::span<const stage_engine> engines,
                         mono_time now)
{
    double running = 0;
    for (const stage_engine &one : engines)
        running += one.stage == engine_stage::Decode ? one.open : 0;
    if (memory.lookedAt == mono_time{})
        return {running, now, {}};
    const double passed = std::chrono::duration<double>(now - memory.lookedAt).count();
    const double newest = 1 - std::exp(-passed / config::runningMeanSeconds);
    return {memory.meanRunning + newest * (running - memory.meanRunning), now, memory.unevenSince};
}

/// Engines read prompts in the prefill stage at more than twice the pace of the decode stage, and
/// a prompt that is read at a decode engine holds up all that runs there. So no more engines run
/// requests than have to.
std::uint32_t wantedDecoders(std::size_t engines, std::uint32_t decodersNow,
                             const engine_traits &traits, double meanRunning)
{
    const auto total = static_cast<std::uint32_t>(engines);
    const std::uint32_t least = leastDecoders(engines, traits);
    const auto readers = static_cast<std::uint32_t>(std::ceil(config::prefillShareLeast * total));
    const std::uint32_t most = std::max(total - std::min(total, readers), least);
    const double needed = meanRunning / comfortableRunning(traits);
    if (needed > decodersNow)
        return std::clamp(static_cast<std::uint32_t>(std::ceil(needed)), least, most);
    // An engine is given back only where the others have room for what it ran, and more.
    const auto kept = static_cast<std::uint32_t>(std::ceil(needed / config::decodeGiveBackShare));
    return std::clamp(std::min(decodersNow, kept), least, most);
}

std::vector<stage_change> planStages(std::span<const stage_engine> engines,
                                     const engine_traits &traits, const stage_memory &memory)
{
    std::vector<stage_change> changes;
    if (engines.size() < config::stagedEnginesAtLeast)
        return changes;
    const std::uint32_t decoders = countOf(engines, engine_stage::Decode);
    const std::uint32_t wanted =
            wantedDecoders(engines.size(), decoders, traits, memory.meanRunning);
    const bool isMoreWanted = wanted > decoders;
    const engine_stage from = isMoreWanted ? engine_stage::Prefill : engine_stage::Decode;
    const engine_stage to = isMoreWanted ? engine_stage::Decode : engine_stage::Prefill;
    const std::uint32_t count = isMoreWanted ? wanted - decoders : decoders - wanted;
    while (changes.size() < count) {
        const stage_engine *next = cheapest(engines, from, changes);
        if (next == nullptr)
            break;
        changes.push_back({next->id, to});
    }
    return changes;
}

/// An engine that crashed is back after a few seconds, and a change takes as long: made at once, it
/// is undone as soon as it is done, and both take engines away when they are short. Where nothing
/// runs, a change costs nothing.
std::vector<stage_change> dueChanges(std::span<const stage_engine> engines,
                                     const engine_traits &traits, stage_memory &memory)
{
    std::vector<stage_change> planned = planStages(engines, traits, memory);
    if (planned.empty()) {
        memory.unevenSince = {};
        return planned;
    }
    if (memory.unevenSince == mono_time{})
        memory.unevenSince = memory.lookedAt;
    if (memory.meanRunning < config::restRunning)
        return planned;
    const milliseconds patience = planned.front().wanted == engine_stage::Decode
            ? config::stagePatience
            : config::stageGiveBackPatience;
    const bool isDue = memory.lookedAt - memory.unevenSince >= patience;
    planned.resize(isDue ? std::min(planned.size(), changesLeft(engines)) : 0);
    return planned;
}

} // namespace poplarspool::gateway
