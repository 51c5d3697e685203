#pragma once

#include "poplarspool/admission/ranks.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/limits.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <variant>
#include <vector>

/// Placement: the choice of the runner for a request. Pure functions over plain values: no I/O, no
/// clock, no threads.
namespace poplarspool::gateway {

/// Estimated prefill speed of the engines of one service and stage, learnt from past prompts.
struct engine_pace
{
    double scale = 1; ///< Factor applied to prefillTimeMs().
    double firstTokenMs = config::firstTokenMs; ///< From the end of prefill to the first token.

    bool operator==(const engine_pace &) const = default;
};

/// Updates the estimate with the duration of one prompt.
/// @param expectedMs Expected prefill time of this prompt and all before it, at this pace, without
///                   firstTokenMs.
/// @param tookMs Time to the first token.
engine_pace updatePace(const engine_pace &pace, double expectedMs, double tookMs);

/// Load of one runner at the time of the placement, over all instances.
struct runner_load
{
    std::uint32_t open = 0; ///< Requests sent and not ended.
    std::uint32_t urgentWaiting = 0; ///< Of these, urgent ones that have not started.
    std::uint32_t lateWaiting = 0; ///< Of these, late ones that have not started.
    double urgentPrefillMs = 0; ///< Time needed for the urgent prompts that are not prefilled yet.
    /// The same for the late ones, which all urgent ones overtake.
    double latePrefillMs = 0;
    admission::lower_ranks lowerRanks{}; ///< Of the urgent ones, those of lower ranks.
    /// Of its service: what overtakes urgent requests of each rank.
    admission::overtaking_shares overtaking{};
    mono_time ejectedUntil{}; ///< It failed recently: other runners are preferred until then.
    engine_pace pace; ///< Of its service and stage.
    double runMs = 0; ///< Recent mean from a request's first event to its end; 0: unknown.
    double slowness = 1; ///< Duration of its requests relative to its siblings'.
    /// Prefill time relative to the median of its service and stage, without `slowness`.
    double speedFactor = 1;

    bool operator==(const runner_load &) const = default;
};

struct placement_candidate
{
    static constexpr std::uint32_t notPreferred = UINT32_MAX;

    std::shared_ptr<const runner> target;
    runner_load load;
    std::uint32_t cachedTokens = 0; ///< Known cached tokens of this prompt's beginning.
    /// Of these, the prefilled ones: other engines can copy them.
    std::uint32_t copyableTokens = 0;
    /// Rank in the order in which all instances prefer the engines of a stage for the prompt's
    /// shared parts; `notPreferred` behind the first few.
    std::uint32_t affinityRank = notPreferred;
    /// Time until its rate limit permits another request; 0: it may get one now.
    double limitedForMs = 0;
    /// Time for which it has asked this instance for rest; 0: it may get requests.
    double restsForMs = 0;
    bool isLeaving = false; ///< It has said that it leaves, and its entry doesn't say so yet.
    /// Its service's other runners of its stage have other software versions: a stream that it
    /// begins can go on nowhere else.
    bool isAloneInVersion = false;
    bool isTried = false; ///< By this request, without success.
    bool isMisdirected = false; ///< It has denied its own entry.

    bool operator==(const placement_candidate &) const = default;
};

struct placement_query
{
    service_id service;
    zone_id zone; ///< Of this instance.
    std::optional<engine_traits> engine; ///< None for plain services.
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< Tokens of the prompt's parts that other requests share.
    bool mayHandOff = true; ///< The prompt may be prefilled on another engine.
    bool hasBegun = false; ///< The caller has a part of the answer: too late to refuse.
    /// It begins a stream that may have to go on at another runner of the version that begins it.
    bool mayMoveLater = false;
    /// Software version that has to serve it; none: any.
    std::optional<version_key> version;
    /// Prefilled on another engine: only its KV cache has to be taken over.
    bool isPrefilled = false;
    zone_id prefillZone; ///< Of that engine.
    double objectiveLeftMs = 0; ///< Time in which it should start.
    /// Time in which it must have ended.
    double timeLeftMs = std::numeric_limits<double>::infinity();
    std::uint32_t rank = 0; ///< Priority; 0 is the highest.
    /// Whether urgent work of lower ranks is left out of its wait; otherwise ranks don't matter.
    bool doRanksCount = false;
    bool isPromotable = false; ///< It may be served at rank 0 while capacity is short.
    mono_time now{};
    std::uint64_t draw = 0; ///< Uniformly distributed random bits; break ties.
    /// Its workspace is above its share while capacity is short: it is late, unless an engine has
    /// nothing waiting.
    bool isAboveShare = false;

    bool operator==(const placement_query &) const = default;
};

/// Whether a request can still meet its objective.
enum class send_class {
    Urgent, ///< It can: served before late requests.
    Late, ///< It can't, so it is a late request: served when no urgent request waits.
};

std::string_view nameOf(send_class urgency);

struct placement
{
    std::shared_ptr<const runner> serving;
    /// Engine that prefills the prompt first; null: `serving` does.
    std::shared_ptr<const runner> prefill;
    /// The engine that prefills the prompt copies cached parts from this one first; null: no copy.
    std::shared_ptr<const runner> cacheSource;
    double prefillMs = 0; ///< Prefill time of the prompt on the engine that prefills it.
    std::uint32_t cachedTokens = 0; ///< Of the prompt: cached on that engine or copied to it.
    /// The same without that engine's speed factor: whoever waits behind the prompt applies it.
    double prefillWorkMs = 0;
    /// Expected prefill time of the prompt and those before it on an engine of median speed.
    double medianMs = 0;
    double aheadMs = 0; ///< Prefill time of the prompts before it on that engine.
    double expectedStartMs = 0; ///< Until the first event.
    double slotWaitMs = 0; ///< Wait for a free slot on `serving`.
    /// Requests on `serving` that have not started, without urgent ones of lower ranks.
    std::uint32_t waitingThere = 0;
    double speedFactor = 1; ///< Of `serving`.
    send_class urgency = send_class::Urgent;
    std::uint32_t rank = 0; ///< At which engines serve it.

    bool operator==(const placement &) const = default;
};

/// No runner can take the request now; it has not run.
struct no_placement
{
    bool areAllTried = false; ///< There are runners, but this request has tried them all.
    /// More requests wait at all runners than can start in time, or their rate limits are used up,
    /// or they rest; the caller should come back after this many milliseconds. 0: another reason.
    double retryInMs = 0;
    /// The reason: the rate limits of all runners are used up, but for those that rest.
    bool isLimited = false;
    bool isResting = false; ///< The reason, for one of the runners at least: it rests.

    bool operator==(const no_placement &) const = default;
};

std::variant<placement, no_placement>
choosePlacement(const placement_query &query, std::span<const placement_candidate> candidates);

/// @param cached Tokens at the prompt's beginning that need no prefill.
/// @returns Prefill time in milliseconds of an otherwise idle engine of that stage.
double prefillTimeMs(engine_stage stage, std::uint32_t promptTokens, std::uint32_t cached);

/// @returns Milliseconds to move the KV cache of that many tokens between two idle links.
double transferTimeMs(const engine_traits &traits, std::uint32_t tokens);

} // namespace poplarspool::gateway
