#include "poplarspool/gateway/placing.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <limits>

namespace poplarspool::gateway {

namespace {

using candidate_list = std::vector<const place_candidate *>;

bool isSetAside(const place_candidate &one, mono_time now)
{
    return one.load.setAsideUntil > now;
}

/// An engine that names no stage does all the work of one.
bool serves(const runner &target, engine_stage stage)
{
    return target.stage == stage
            || (stage == engine_stage::Decode && target.stage == engine_stage::None);
}

/// The runners that may take the request: those that failed lately only where no other is left, and
/// also where so many are set aside that the rest would be overrun.
candidate_list openCandidates(const place_wish &wish, std::span<const place_candidate> candidates,
                              engine_stage stage)
{
    candidate_list all;
    candidate_list good;
    for (const place_candidate &one : candidates) {
        if (one.target->service != wish.service || one.target->isDraining || one.isTried
            || one.isMisdirected || one.target->keptUntil <= wish.now
            || !serves(*one.target, stage))
            continue;
        all.push_back(&one);
        if (!isSetAside(one, wish.now))
            good.push_back(&one);
    }
    const auto least = static_cast<double>(all.size()) * config::leastOpenShare;
    return static_cast<double>(good.size()) >= least && !good.empty() ? good : all;
}

/// Evenly spread in [0, 1), and different for each pair of request and runner.
double tieBreak(const place_wish &wish, const runner &target)
{
    return unitOf(hashOf(target.id.text, wish.draw));
}

double serviceScore(const place_wish &wish, const place_candidate &one)
{
    const auto slots = static_cast<double>(std::max(one.target->slots, 1U));
    const double crossing = one.target->zone == wish.zone ? 0 : config::serviceCrossZoneCost;
    const double queueing = one.load.open / slots;
    return (1 + queueing + crossing) * one.load.slowness
            + config::tieBreakCost * tieBreak(wish, *one.target);
}

std::variant<placement, no_place> chooseService(const place_wish &wish,
                                                std::span<const place_candidate> candidates)
{
    const candidate_list open = openCandidates(wish, candidates, engine_stage::None);
    if (open.empty())
        return no_place{};
    const auto best = std::ranges::min_element(
            open, {}, [&](const place_candidate *one) { return serviceScore(wish, *one); });
    placement chosen;
    chosen.serving = (*best)->target;
    return chosen;
}

/// The runner that all instances choose, without a message, to read shared parts that nobody has:
/// two that read them at the same time would do so twice.
const place_candidate *homeOf(const candidate_list &open, std::uint64_t key)
{
    const auto home = std::ranges::max_element(open, {}, [key](const place_candidate *one) {
        return hashOf(one->target->id.text, key);
    });
    return key == 0 || home == open.end() ? nullptr : *home;
}

/// In a large fleet, what others have sent is known late: if all chose the least loaded engine, all
/// would choose the same one, and its queue would be the longest before anyone hears of it. So each
/// request looks at a few engines drawn by chance, and at the home of its shared parts.
candidate_list drawn(const place_wish &wish, candidate_list engines)
{
    if (std::ssize(engines) <= config::drawnEngines)
        return engines;
    const place_candidate *home = homeOf(engines, wish.affinityKey);
    std::ranges::partial_sort(
            engines, engines.begin() + config::drawnEngines, {},
            [&wish](const place_candidate *one) { return tieBreak(wish, *one->target); });
    engines.resize(config::drawnEngines);
    if (home != nullptr && std::ranges::find(engines, home) == engines.end())
        engines.push_back(home);
    return engines;
}

/// Who has read most of this prompt's beginning; null where nobody has any. One that is about to
/// read it has nothing yet to copy: the copy would be read in full after all.
const place_candidate *holderOf(const place_wish &wish, std::span<const place_candidate> candidates)
{
    const place_candidate *holder = nullptr;
    for (const place_candidate &one : candidates) {
        const bool isUsable = one.target->service == wish.service && one.readTokens > 0
                && !isSetAside(one, wish.now);
        if (isUsable && (holder == nullptr || one.readTokens > holder->readTokens))
            holder = &one;
    }
    return holder;
}

/// One way of getting the prompt read.
struct reading
{
    const place_candidate *at = nullptr;
    const place_candidate *copyFrom = nullptr;
    double ownMs = 0; ///< For this prompt.
    double costMs = std::numeric_limits<double>::infinity(); ///< With all that is weighed.
    double aheadMs = 0; ///< For the prompts before it.
    double startMs = 0; ///< Until the first token.
};

/// What is there to choose from, looked up once.
struct engine_choice
{
    const place_wish &wish;
    send_class urgency;
    const place_candidate *holder;
    const place_candidate *home;
};

reading readAt(const engine_choice &choice, const place_candidate &at,
               const place_candidate *copyFrom)
{
    const place_wish &wish = choice.wish;
    const double slowness = std::max(at.load.slowness, 1.0);
    std::uint32_t cached = at.cachedTokens;
    reading made;
    made.at = &at;
    double copyMs = 0;
    if (copyFrom != nullptr) {
        copyMs = transferTimeMs(*wish.engine, copyFrom->readTokens - cached);
        cached = copyFrom->readTokens;
        made.copyFrom = copyFrom;
        made.costMs = config::kvCopyCostMs;
    } else {
        made.costMs = 0;
    }
    // The engine is busy with the copy, too.
    made.ownMs = readingTimeMs(at.target->stage, wish.promptTokens, cached) * at.load.pace.scale
                    * slowness
            + copyMs;
    const double aheadMs =
            at.load.readingMs + (choice.urgency == send_class::Later ? at.load.laterMs : 0);
    made.aheadMs = aheadMs * slowness;
    made.startMs = made.aheadMs + made.ownMs + at.load.pace.firstMs;
    const bool isColdElsewhere = cached < wish.sharedTokens && choice.home != &at;
    made.costMs += made.startMs + (isColdElsewhere ? config::coldElsewhereMs : 0)
            + (at.target->zone == wish.zone ? 0 : config::engineCrossZoneMs)
            + config::tieBreakCost * tieBreak(wish, *at.target);
    return made;
}

/// The best way to have the prompt read by one of these engines.
reading bestReading(const engine_choice &choice, const candidate_list &engines)
{
    reading best;
    const auto keepBetter = [&best](const reading &other) {
        if (other.costMs < best.costMs)
            best = other;
    };
    for (const place_candidate *one : engines) {
        keepBetter(readAt(choice, *one, nullptr));
        if (choice.holder != nullptr && choice.holder->readTokens > one->cachedTokens)
            keepBetter(readAt(choice, *one, choice.holder));
    }
    return best;
}

/// Time until one of the engine's slots is free for a request of that class. An engine whose batch
/// is full begins nothing, however fast it reads.
double slotWaitMs(const place_wish &wish, const place_candidate &one, send_class urgency)
{
    const double batch = std::max(wish.engine->batch, 1U);
    const runner_load &load = one.load;
    const double ahead = load.open - (urgency == send_class::Urgent ? load.waitingLater : 0.0);
    return std::max(0.0, ahead + 1 - batch) * load.runMs / batch;
}

/// How much later the events of a request come for what already runs there. Prompts that wait to be
/// read there don't count: what was read elsewhere is admitted before them.
double decodeLoadMs(const place_wish &wish, const place_candidate &one, send_class urgency)
{
    return (config::decodeCostMsPerRequest * one.load.open + slotWaitMs(wish, one, urgency))
            * std::max(one.load.slowness, 1.0);
}

const place_candidate *leastDecoding(const place_wish &wish, const candidate_list &open,
                                     send_class urgency)
{
    const auto least = std::ranges::min_element(open, {}, [&](const place_candidate *one) {
        const double spared =
                transferTimeMs(*wish.engine, std::min(one->cachedTokens, wish.promptTokens));
        const bool isCrossing = wish.isRead && one->target->zone != wish.readerZone;
        // Between zones a transfer takes twice as long and is dearer.
        const double crossing = isCrossing
                ? transferTimeMs(*wish.engine, wish.promptTokens) + config::engineCrossZoneMs
                : 0;
        return decodeLoadMs(wish, *one, urgency) - spared + crossing
                + config::tieBreakCost * tieBreak(wish, *one->target);
    });
    return *least;
}

/// The engines that are open to a request.
struct engine_lists
{
    candidate_list decoders;
    candidate_list readers; ///< That may read the prompt first.
    const place_candidate *holder;
};

/// An engine reads one prompt at a time, and nothing that comes in starts to run before that one is
/// done. Where others read, an engine that runs requests reads no more than takes as long as to
/// hand it over: with long prompts among them, requests whose prompt was read elsewhere waited up
/// to 1.7 s for their first event.
bool mayReadThere(const place_wish &wish, const place_candidate &one, const engine_lists &engines)
{
    const std::uint32_t cached = std::min(one.cachedTokens, wish.promptTokens);
    return engines.readers.empty() || wish.promptTokens - cached < config::handOverLeastTokens;
}

/// The best way to serve a request of that class, over all engines and hand-overs.
placement chooseWay(const place_wish &wish, const engine_lists &engines, send_class urgency)
{
    placement chosen;
    chosen.urgency = urgency;
    reading best;
    const place_candidate *serving = engines.decoders.front();
    double bestCost = std::numeric_limits<double>::infinity();
    const engine_choice direct{wish, urgency, engines.holder,
                               homeOf(engines.decoders, wish.affinityKey)};
    for (const place_candidate *one : engines.decoders) {
        if (!mayReadThere(wish, *one, engines))
            continue;
        const reading here = bestReading(direct, {one});
        const double cost = here.costMs + decodeLoadMs(wish, *one, urgency);
        if (cost < bestCost) {
            best = here;
            bestCost = cost;
            serving = one;
        }
    }
    if (!engines.readers.empty()) {
        const place_candidate *at = leastDecoding(wish, engines.decoders, urgency);
        const engine_choice handed{wish, urgency, engines.holder,
                                   homeOf(engines.readers, wish.affinityKey)};
        const reading there = bestReading(handed, engines.readers);
        const double moveMs = transferTimeMs(*wish.engine, wish.promptTokens);
        if (there.costMs + moveMs + decodeLoadMs(wish, *at, urgency) + config::handOverCostMs
            < bestCost) {
            best = there;
            best.startMs += moveMs;
            serving = at;
            chosen.prefill = there.at->target;
        }
    }
    chosen.cacheHolder = best.copyFrom != nullptr ? best.copyFrom->target : nullptr;
    chosen.serving = serving->target;
    chosen.slotWaitMs = slotWaitMs(wish, *serving, urgency);
    chosen.waitingThere = serving->load.waiting + serving->load.waitingLater;
    chosen.readingMs = best.ownMs;
    chosen.aheadMs = best.aheadMs;
    chosen.expectedStartMs = best.startMs + chosen.slotWaitMs;
    return chosen;
}

/// Only what is before a request counts: a prompt that takes long by itself is not refused where
/// nobody waits.
bool hasRoom(const place_wish &wish, const placement &later)
{
    const double room = std::max(1.0, config::laterRoomShare * wish.engine->batch);
    const double waitMs = later.aheadMs + later.slotWaitMs;
    return later.waitingThere < room && waitMs < wish.timeLeftMs * config::laterTimeShare;
}

/// On the heaviest days more prompts come than the engines can read in time. Served in the order of
/// arrival, all of them start late. So a request that can still start in time only waits for others
/// that can; the rest is served in the gaps. Judged by what is open alone, without places and what
/// waits, requests seemed to be on time that were not: at four times the load that engines can
/// begin, 6 requests a second were on time in place of 286 (8 engines, played in virtual time).
///
/// Of the rest, no more is taken than begins soon. That gains no answers (mean worth 0.414 with it
/// and 0.419 without, ten days of a deployment in overload: noise), but its callers hear at once
/// when to come back, and not after some engines have refused them.
std::variant<placement, no_place> chooseEngine(const place_wish &wish,
                                               std::span<const place_candidate> candidates)
{
    engine_lists engines;
    engines.decoders = drawn(wish, openCandidates(wish, candidates, engine_stage::Decode));
    if (engines.decoders.empty())
        return no_place{};
    if (wish.isRead) {
        placement chosen;
        chosen.serving = leastDecoding(wish, engines.decoders, send_class::Urgent)->target;
        return chosen;
    }
    engines.holder = holderOf(wish, candidates);
    if (wish.mayHandOver && wish.promptTokens >= config::handOverLeastTokens)
        engines.readers = drawn(wish, openCandidates(wish, candidates, engine_stage::Prefill));
    placement urgent = chooseWay(wish, engines, send_class::Urgent);
    if (urgent.expectedStartMs <= wish.objectiveLeftMs * config::urgentShare)
        return urgent;
    placement later = chooseWay(wish, engines, send_class::Later);
    if (wish.hasBegun || hasRoom(wish, later))
        return later;
    return no_place{false, std::max(urgent.expectedStartMs - wish.objectiveLeftMs, 1.0)};
}

bool hasTried(const place_wish &wish, std::span<const place_candidate> candidates)
{
    return std::ranges::any_of(candidates, [&](const place_candidate &one) {
        return one.isTried && one.target->service == wish.service && !one.target->isDraining;
    });
}

} // namespace

std::string_view nameOf(send_class urgency)
{
    return urgency == send_class::Urgent ? "urgent" : "later";
}

std::variant<placement, no_place> choosePlace(const place_wish &wish,
                                              std::span<const place_candidate> candidates)
{
    auto chosen = wish.engine ? chooseEngine(wish, candidates) : chooseService(wish, candidates);
    if (auto *none = std::get_if<no_place>(&chosen))
        none->areAllTried = none->roomInMs == 0 && hasTried(wish, candidates);
    return chosen;
}

} // namespace poplarspool::gateway
