#include "poplarspool/gateway/placement.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplarspool::gateway {

namespace {

using candidate_list = std::vector<const placement_candidate *>;

bool isEjected(const placement_candidate &one, mono_time now)
{
    return one.load.ejectedUntil > now;
}

/// An engine without a stage does the work of all stages.
bool serves(const runner &target, engine_stage stage)
{
    return target.stage == stage
            || (stage == engine_stage::Decode && target.stage == engine_stage::None);
}

/// A request may be prefilled by any version; only the version that runs it writes events.
bool hasWantedVersion(const placement_query &query, const runner &target, engine_stage stage)
{
    return !query.version || stage == engine_stage::Prefill
            || versionKeyOf(target.version) == *query.version;
}

/// Whether the runner could take the request, if it doesn't rest and its rate limit permits another
/// one.
bool isCandidate(const placement_query &query, const placement_candidate &one, engine_stage stage)
{
    return one.target->service == query.service && !one.target->isDraining && !one.isLeaving
            && !one.isTried && !one.isMisdirected && one.target->retainedUntil > query.now
            && serves(*one.target, stage) && hasWantedVersion(query, *one.target, stage);
}

/// Runners that may take the request. Ejected ones are included only if no other is left or if so
/// many are ejected that the rest would be overloaded.
candidate_list eligibleCandidates(const placement_query &query,
                                  std::span<const placement_candidate> candidates,
                                  engine_stage stage)
{
    candidate_list all;
    candidate_list good;
    for (const placement_candidate &one : candidates) {
        if (!isCandidate(query, one, stage) || one.limitedForMs > 0 || one.restsForMs > 0)
            continue;
        all.push_back(&one);
        if (!isEjected(one, query.now))
            good.push_back(&one);
    }
    const auto minEligible = static_cast<double>(all.size()) * config::minEligibleShare;
    return static_cast<double>(good.size()) >= minEligible && !good.empty() ? good : all;
}

/// The reason why no runner may take the request now. The rate limits of all runners together are
/// what the service takes: if they are used up, or if all rest, the caller learns at once when to
/// come back.
no_placement noneEligible(const placement_query &query,
                          std::span<const placement_candidate> candidates, engine_stage stage)
{
    no_placement none;
    for (const placement_candidate &one : candidates) {
        const double waitMs = std::max(one.limitedForMs, one.restsForMs);
        if (!isCandidate(query, one, stage) || waitMs <= 0)
            continue;
        none.retryInMs = none.retryInMs == 0 ? waitMs : std::min(none.retryInMs, waitMs);
        none.isLimited = none.isLimited || one.restsForMs <= 0;
        none.isResting = none.isResting || one.restsForMs > 0;
    }
    return none;
}

/// Uniformly distributed in [0, 1), and different for each pair of request and runner.
double tieBreak(const placement_query &query, const runner &target)
{
    return toUnitInterval(hashOf(target.id.text, query.draw));
}

double serviceCost(const placement_query &query, const placement_candidate &one)
{
    const auto slots = static_cast<double>(std::max(one.target->slots, 1U));
    const double zoneCost = one.target->zone == query.zone ? 0 : config::serviceCrossZoneCost;
    const double queueing = one.load.open / slots;
    return (1 + queueing + zoneCost) * one.load.slowness
            + config::tieBreakCost * tieBreak(query, *one.target);
}

std::variant<placement, no_placement> chooseService(const placement_query &query,
                                                    std::span<const placement_candidate> candidates)
{
    const candidate_list open = eligibleCandidates(query, candidates, engine_stage::None);
    if (open.empty())
        return noneEligible(query, candidates, engine_stage::None);
    const auto best = std::ranges::min_element(
            open, {}, [&](const placement_candidate *one) { return serviceCost(query, *one); });
    placement chosen;
    chosen.serving = (*best)->target;
    return chosen;
}

/// The runner that all instances choose independently to prefill shared parts that no runner has
/// cached: two runners that prefill them at the same time would do the work twice.
const placement_candidate *preferredEngineOf(const candidate_list &open)
{
    const auto preferred = std::ranges::min_element(open, {}, &placement_candidate::affinityRank);
    const bool isPreferred = preferred != open.end()
            && (*preferred)->affinityRank != placement_candidate::notPreferred;
    return isPreferred ? *preferred : nullptr;
}

/// Orders engines for sampling without replacement, each with a weight of 1 / speedFactor: an
/// engine that is twice as fast serves twice as many requests. Of exponential variates with these
/// weights as rates, the smallest ones are such a sample. Engines of equal speed keep the order of
/// tieBreak().
double samplingKey(const placement_query &query, const placement_candidate &one, bool isWeighted)
{
    const double draw = tieBreak(query, *one.target);
    return isWeighted ? -std::log1p(-draw) * one.load.speedFactor : draw;
}

/// In a large fleet, the load sent by other instances is known late: if all chose the least loaded
/// engine, they would choose the same one, and its queue would be the longest before the update
/// arrives. So each request considers a few randomly sampled engines and the preferred engine of
/// its shared parts.
candidate_list sampledCandidates(const placement_query &query, candidate_list engines)
{
    if (std::ssize(engines) <= config::sampledEngines)
        return engines;
    const placement_candidate *preferred = preferredEngineOf(engines);
    const bool isWeighted = std::ranges::any_of(
            engines, [](const placement_candidate *one) { return one->load.speedFactor != 1; });
    std::ranges::partial_sort(
            engines, engines.begin() + config::sampledEngines, {},
            [&](const placement_candidate *one) { return samplingKey(query, *one, isWeighted); });
    engines.resize(config::sampledEngines);
    if (preferred != nullptr && std::ranges::find(engines, preferred) == engines.end())
        engines.push_back(preferred);
    return engines;
}

bool isBetterHolder(const placement_candidate &one, const placement_candidate &other)
{
    if (one.copyableTokens != other.copyableTokens)
        return one.copyableTokens > other.copyableTokens;
    return one.target->id < other.target->id;
}

/// The engine that has prefilled most of this prompt's beginning; null if none has. An engine that
/// has only queued the prompt has nothing to copy yet: the requesting engine would have to prefill
/// it in full. Of equal holders all instances choose the same one: engines evict what is used
/// least, and each copy counts as a use.
const placement_candidate *cacheHolderOf(const placement_query &query,
                                         std::span<const placement_candidate> candidates)
{
    const placement_candidate *holder = nullptr;
    for (const placement_candidate &one : candidates) {
        const bool isUsable = one.target->service == query.service && one.copyableTokens > 0
                && !isEjected(one, query.now) && one.restsForMs <= 0;
        if (isUsable && (holder == nullptr || isBetterHolder(one, *holder)))
            holder = &one;
    }
    return holder;
}

/// One option for prefilling the prompt.
struct prefill_option
{
    const placement_candidate *at = nullptr;
    const placement_candidate *copyFrom = nullptr;
    double ownMs = 0; ///< For this prompt.
    double workMs = 0; ///< The same without the engine's speed factor.
    double medianMs = 0; ///< For all prompts, on an engine of median speed.
    double costMs = std::numeric_limits<double>::infinity(); ///< Including all penalties.
    double aheadMs = 0; ///< For the prompts before it.
    double startMs = 0; ///< Until the first token.
};

/// Inputs that all options share.
struct prefill_inputs
{
    const placement_query &query;
    send_class urgency;
    const placement_candidate *holder;
    const placement_candidate *preferred;
};

/// Urgent work that the engine serves before the request: of all ranks, unless the query counts
/// ranks.
admission::waiting_work urgentAhead(const placement_query &query, const runner_load &load,
                                    send_class urgency)
{
    const admission::waiting_work all{load.urgentWaiting, load.urgentPrefillMs};
    return query.doRanksCount && urgency == send_class::Urgent
            ? admission::workAhead(all, load.lowerRanks, query.rank)
            : all;
}

double overtakingFactorOf(const placement_query &query, const runner_load &load, send_class urgency)
{
    return query.doRanksCount && urgency == send_class::Urgent
            ? admission::overtakingFactor(load.overtaking, query.rank)
            : 1;
}

prefill_option prefillOptionAt(const prefill_inputs &inputs, const placement_candidate &at,
                               const placement_candidate *copyFrom)
{
    const placement_query &query = inputs.query;
    const double slowness = std::max(at.load.slowness, 1.0);
    std::uint32_t cached = at.cachedTokens;
    prefill_option made;
    made.at = &at;
    double copyMs = 0;
    if (copyFrom != nullptr) {
        copyMs = transferTimeMs(*query.engine, copyFrom->copyableTokens - cached);
        cached = copyFrom->copyableTokens;
        made.copyFrom = copyFrom;
        made.costMs = config::kvCopyCostMs;
    } else {
        made.costMs = 0;
    }
    // The copy occupies the engine as well.
    const double usualMs =
            prefillTimeMs(at.target->stage, query.promptTokens, cached) * at.load.pace.scale;
    made.workMs = usualMs * slowness + copyMs;
    made.ownMs = usualMs * slowness * at.load.speedFactor + copyMs;
    const double aheadMs = urgentAhead(query, at.load, inputs.urgency).prefillMs
                    * overtakingFactorOf(query, at.load, inputs.urgency)
            + (inputs.urgency == send_class::Late ? at.load.latePrefillMs : 0);
    made.aheadMs = aheadMs * slowness * at.load.speedFactor;
    // Of the prompts before it, the first one is half done on average.
    made.medianMs = aheadMs - std::min(aheadMs, usualMs) / 2 + usualMs;
    made.startMs = made.aheadMs + made.ownMs + at.load.pace.firstTokenMs;
    const bool isColdElsewhere = cached < query.sharedTokens && inputs.preferred != &at;
    made.costMs += made.startMs + (isColdElsewhere ? config::coldCachePenaltyMs : 0)
            + (at.target->zone == query.zone ? 0 : config::engineCrossZoneMs)
            + config::tieBreakCost * tieBreak(query, *at.target);
    return made;
}

/// The cheapest option for prefilling the prompt on one of these engines.
prefill_option bestPrefillOption(const prefill_inputs &inputs, const candidate_list &engines)
{
    prefill_option best;
    const auto keepBetter = [&best](const prefill_option &other) {
        if (other.costMs < best.costMs)
            best = other;
    };
    for (const placement_candidate *one : engines) {
        keepBetter(prefillOptionAt(inputs, *one, nullptr));
        if (inputs.holder != nullptr && inputs.holder->copyableTokens > one->cachedTokens)
            keepBetter(prefillOptionAt(inputs, *one, inputs.holder));
    }
    return best;
}

/// Time until a slot of the engine is free for a request of that class. An engine whose batch is
/// full starts no request, however fast it prefills.
double slotWaitMs(const placement_query &query, const placement_candidate &one, send_class urgency)
{
    const double batch = std::max(query.engine->batch, 1U);
    const runner_load &load = one.load;
    const double overtaken = load.urgentWaiting - urgentAhead(query, load, urgency).count
            + (urgency == send_class::Urgent ? load.lateWaiting : 0.0);
    const double ahead = load.open - overtaken;
    return std::max(0.0, ahead + 1 - batch) * load.runMs / batch
            * overtakingFactorOf(query, load, urgency);
}

/// Delay of a request's events by the requests that already run on the engine. Prompts that wait
/// for prefill there don't count: requests that were prefilled elsewhere are admitted before them.
double decodeLoadMs(const placement_query &query, const placement_candidate &one,
                    send_class urgency)
{
    const double loneCostMs =
            query.mayMoveLater && one.isAloneInVersion ? config::loneVersionCostMs : 0;
    // The wait for a slot is made of times that were measured at this engine.
    return (config::decodeCostMsPerRequest * one.load.open * one.load.speedFactor
            + slotWaitMs(query, one, urgency))
            * std::max(one.load.slowness, 1.0)
            + loneCostMs;
}

const placement_candidate *leastLoadedDecoder(const placement_query &query,
                                              const candidate_list &open, send_class urgency)
{
    const auto best = std::ranges::min_element(open, {}, [&](const placement_candidate *one) {
        const double savedMs =
                transferTimeMs(*query.engine, std::min(one->cachedTokens, query.promptTokens));
        const bool isCrossing = query.isPrefilled && one->target->zone != query.prefillZone;
        // Between zones a transfer takes twice as long and costs more.
        const double crossingMs = isCrossing
                ? transferTimeMs(*query.engine, query.promptTokens) + config::engineCrossZoneMs
                : 0;
        return decodeLoadMs(query, *one, urgency) - savedMs + crossingMs
                + config::tieBreakCost * tieBreak(query, *one->target);
    });
    return *best;
}

/// The engines that may take a request.
struct eligible_engines
{
    candidate_list decoders;
    candidate_list prefillers; ///< May prefill the prompt first.
    const placement_candidate *holder;
};

/// An engine prefills one prompt at a time and starts no request before that prompt is done. If
/// there are prefill engines, an engine that runs requests prefills at most what takes as long as
/// a handoff: with longer prompts, requests that were prefilled elsewhere waited up to 1.7 s for
/// their first event.
bool mayPrefillOn(const placement_query &query, const placement_candidate &one,
                  const eligible_engines &engines)
{
    const std::uint32_t cached = std::min(one.cachedTokens, query.promptTokens);
    return engines.prefillers.empty()
            || query.promptTokens - cached < config::prefillHandoffMinTokens;
}

/// The cheapest way to serve a request of that class, over all engines and handoffs.
placement cheapestPlacement(const placement_query &query, const eligible_engines &engines,
                            send_class urgency)
{
    placement chosen;
    chosen.urgency = urgency;
    prefill_option best;
    const placement_candidate *serving = engines.decoders.front();
    double bestCost = std::numeric_limits<double>::infinity();
    const prefill_inputs direct{query, urgency, engines.holder,
                                preferredEngineOf(engines.decoders)};
    for (const placement_candidate *one : engines.decoders) {
        if (!mayPrefillOn(query, *one, engines))
            continue;
        const prefill_option here = bestPrefillOption(direct, {one});
        const double cost = here.costMs + decodeLoadMs(query, *one, urgency);
        if (cost < bestCost) {
            best = here;
            bestCost = cost;
            serving = one;
        }
    }
    if (!engines.prefillers.empty()) {
        const placement_candidate *at = leastLoadedDecoder(query, engines.decoders, urgency);
        const prefill_inputs handoff{query, urgency, engines.holder,
                                     preferredEngineOf(engines.prefillers)};
        const prefill_option there = bestPrefillOption(handoff, engines.prefillers);
        const double transferMs = transferTimeMs(*query.engine, query.promptTokens);
        if (there.costMs + transferMs + decodeLoadMs(query, *at, urgency)
                    + config::prefillHandoffCostMs
            < bestCost) {
            best = there;
            best.startMs += transferMs;
            serving = at;
            chosen.prefill = there.at->target;
        }
    }
    chosen.cacheSource = best.copyFrom != nullptr ? best.copyFrom->target : nullptr;
    chosen.serving = serving->target;
    chosen.slotWaitMs = slotWaitMs(query, *serving, urgency);
    chosen.waitingThere =
            urgentAhead(query, serving->load, urgency).count + serving->load.lateWaiting;
    chosen.rank = query.rank;
    chosen.prefillMs = best.ownMs;
    if (best.at != nullptr)
        chosen.cachedTokens =
                best.copyFrom != nullptr ? best.copyFrom->copyableTokens : best.at->cachedTokens;
    chosen.prefillWorkMs = best.workMs;
    chosen.medianMs = best.medianMs;
    chosen.speedFactor = serving->load.speedFactor;
    chosen.aheadMs = best.aheadMs;
    chosen.expectedStartMs = best.startMs + chosen.slotWaitMs;
    return chosen;
}

/// Only the work before a request counts: a prompt that takes long by itself is not refused if no
/// other request waits.
bool canStartSoon(const placement_query &query, const placement &later)
{
    const double room = std::max(1.0, config::lateRoomShare * query.engine->batch);
    const double waitMs = later.aheadMs + later.slotWaitMs;
    return later.waitingThere < room && waitMs < query.timeLeftMs * config::lateTimeShare;
}

/// Whether an engine costs more because streams that it begins can't move: not at the price of
/// starting late.
bool hasLoneVersion(const placement_query &query, const eligible_engines &engines)
{
    return query.mayMoveLater
            && std::ranges::any_of(engines.decoders, [](const placement_candidate *one) {
                   return one->isAloneInVersion;
               });
}

bool isInTime(const placement_query &query, const placement &place)
{
    return place.expectedStartMs <= query.objectiveLeftMs * config::urgentShare;
}

placement urgentPlacement(const placement_query &query, const eligible_engines &engines)
{
    placement urgent = cheapestPlacement(query, engines, send_class::Urgent);
    if (isInTime(query, urgent) || !hasLoneVersion(query, engines))
        return urgent;
    placement_query anywhere = query;
    anywhere.mayMoveLater = false;
    return cheapestPlacement(anywhere, engines, send_class::Urgent);
}

/// The engines at which nothing waits and a slot is free: there, a request delays no other.
candidate_list idleOnes(const placement_query &query, candidate_list engines)
{
    std::erase_if(engines, [&query](const placement_candidate *one) {
        return one->load.urgentWaiting + one->load.lateWaiting > 0
                || one->load.open >= std::max(query.engine->batch, 1U);
    });
    return engines;
}

/// The placement of a request whose workspace is above its share, if it can't be urgent at an idle
/// engine. It must start soon like other late requests.
std::variant<placement, no_placement> placeAboveShare(const placement_query &query,
                                                      const eligible_engines &engines)
{
    const eligible_engines idle{idleOnes(query, engines.decoders),
                                idleOnes(query, engines.prefillers), engines.holder};
    if (!idle.decoders.empty() && (!idle.prefillers.empty() || engines.prefillers.empty())) {
        placement urgent = cheapestPlacement(query, idle, send_class::Urgent);
        if (isInTime(query, urgent))
            return urgent;
    }
    placement later = cheapestPlacement(query, engines, send_class::Late);
    if (query.hasBegun || canStartSoon(query, later))
        return later;
    return no_placement{false, std::max(later.expectedStartMs - query.objectiveLeftMs, 1.0)};
}

/// Under overload, more prompts arrive than the engines can prefill in time. Served in the order of
/// arrival, all of them would start late. So a request that can still start in time only waits for
/// others that can; late requests are served when no such request waits. The estimate includes
/// slots and waiting prompts: by open requests alone, requests would be accepted as on time that
/// are not.
///
/// Engines serve urgent requests by rank. If requests of the highest rank use all capacity, those
/// below it would get nothing for as long as that lasts, so a share of them is served at rank 0 if
/// that is what makes them start in time.
///
/// Late requests are accepted only if they start soon: the callers of the others learn at once when
/// to come back, and not only after some engines have refused them.
std::variant<placement, no_placement> chooseEngine(const placement_query &query,
                                                   std::span<const placement_candidate> candidates)
{
    eligible_engines engines;
    engines.decoders =
            sampledCandidates(query, eligibleCandidates(query, candidates, engine_stage::Decode));
    if (engines.decoders.empty())
        return noneEligible(query, candidates, engine_stage::Decode);
    if (query.isPrefilled) {
        placement chosen;
        const auto *at = leastLoadedDecoder(query, engines.decoders, send_class::Urgent);
        chosen.serving = at->target;
        chosen.speedFactor = at->load.speedFactor;
        return chosen;
    }
    engines.holder = cacheHolderOf(query, candidates);
    if (query.mayHandOff && query.promptTokens >= config::prefillHandoffMinTokens)
        engines.prefillers = sampledCandidates(
                query, eligibleCandidates(query, candidates, engine_stage::Prefill));
    if (query.isAboveShare)
        return placeAboveShare(query, engines);
    placement urgent = urgentPlacement(query, engines);
    if (isInTime(query, urgent))
        return urgent;
    if (query.doRanksCount && query.isPromotable && query.rank > 0) {
        placement_query promoted = query;
        promoted.rank = 0;
        if (placement first = urgentPlacement(promoted, engines); isInTime(query, first))
            return first;
    }
    placement later = cheapestPlacement(query, engines, send_class::Late);
    if (query.hasBegun || canStartSoon(query, later))
        return later;
    return no_placement{false, std::max(urgent.expectedStartMs - query.objectiveLeftMs, 1.0)};
}

bool hasTriedAny(const placement_query &query, std::span<const placement_candidate> candidates)
{
    return std::ranges::any_of(candidates, [&](const placement_candidate &one) {
        return one.isTried && one.target->service == query.service && !one.target->isDraining
                && hasWantedVersion(query, *one.target, one.target->stage);
    });
}

} // namespace

std::string_view nameOf(send_class urgency)
{
    return urgency == send_class::Urgent ? "urgent" : "later";
}

std::variant<placement, no_placement>
choosePlacement(const placement_query &query, std::span<const placement_candidate> candidates)
{
    auto chosen = query.engine ? chooseEngine(query, candidates) : chooseService(query, candidates);
    if (auto *none = std::get_if<no_placement>(&chosen))
        none->areAllTried = none->retryInMs == 0 && hasTriedAny(query, candidates);
    return chosen;
}

} // namespace poplarspool::gateway
