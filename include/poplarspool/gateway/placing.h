#pragma once

#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/limits.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <variant>
#include <vector>

/// Which runner gets a request. Pure functions over plain values: no I/O, no clock, no threads.
namespace poplarspool::gateway {

/// How fast engines of one service and stage read, as learnt from what they have done.
struct engine_pace
{
    double scale = 1; ///< Against readingTimeMs().
    double firstMs = config::firstTokenMs; ///< From the end of reading to the first token.

    bool operator==(const engine_pace &) const = default;
};

/// Takes in how long one prompt took.
/// @param expectedMs What was expected for it and all before it, at this pace, without firstMs.
/// @param tookMs To the first token.
engine_pace learnPace(const engine_pace &pace, double expectedMs, double tookMs);

/// What is known of one runner at the moment of choosing, over all instances.
struct runner_load
{
    std::uint32_t open = 0; ///< Requests sent and not ended.
    std::uint32_t waiting = 0; ///< Of these, urgent ones that have not begun.
    std::uint32_t waitingLater = 0; ///< Of these, such as all urgent ones overtake, not begun.
    double readingMs = 0; ///< Time that it needs for the urgent prompts that it has not read yet.
    double laterMs = 0; ///< The same for those that all urgent ones overtake.
    mono_time setAsideUntil{}; ///< It failed lately: others are preferred until then.
    engine_pace pace; ///< Of its stage.
    double runMs = 0; ///< From a request's first event to its end, there and lately; 0: not known.
    double slowness = 1; ///< Time that it takes, against its siblings.

    bool operator==(const runner_load &) const = default;
};

struct place_candidate
{
    std::shared_ptr<const runner> target;
    runner_load load;
    std::uint32_t cachedTokens = 0; ///< Of this prompt's beginning, as far as known.
    std::uint32_t readTokens = 0; ///< Of these, such as have been read: others can copy them.
    bool isTried = false; ///< By this request, without success.
    bool isMisdirected = false; ///< It isn't what its entry says, by its own word.

    bool operator==(const place_candidate &) const = default;
};

struct place_wish
{
    service_id service;
    zone_id zone; ///< Where this instance stands.
    std::optional<engine_traits> engine; ///< None for plain services.
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< Of the prompt's parts that other requests share.
    std::uint64_t affinityKey = 0; ///< Of the shared parts; 0: none.
    bool mayHandOver = true; ///< Another engine may read the prompt first.
    bool hasBegun = false; ///< The caller has a part of the answer: it is too late to refuse.
    bool isRead = false; ///< Another engine has read it: its KV cache only has to be taken over.
    zone_id readerZone; ///< Where that engine stands.
    double objectiveLeftMs = 0; ///< In which it should start.
    /// In which it must have ended.
    double timeLeftMs = std::numeric_limits<double>::infinity();
    mono_time now{};
    std::uint64_t draw = 0; ///< Any number, evenly spread: breaks ties.

    bool operator==(const place_wish &) const = default;
};

/// Whether a request can still be on time.
enum class send_class {
    Urgent, ///< It can: it goes before those that can't.
    Later, ///< It can't: it is served when nothing urgent waits.
};

std::string_view nameOf(send_class urgency);

struct placement
{
    std::shared_ptr<const runner> serving;
    std::shared_ptr<const runner> prefill; ///< Reads the prompt first; null: `serving` does.
    /// Whoever reads the prompt copies cached parts from it first; null: from nobody.
    std::shared_ptr<const runner> cacheHolder;
    double readingMs = 0; ///< For the prompt, where it is read.
    double aheadMs = 0; ///< For the prompts before it, where it is read.
    double expectedStartMs = 0; ///< Until the first event.
    double slotWaitMs = 0; ///< For a place where it is to run.
    std::uint32_t waitingThere = 0; ///< Requests that have not begun where it is to run.
    send_class urgency = send_class::Urgent;

    bool operator==(const placement &) const = default;
};

/// No runner is there to take the request: it has not run, and can't for now.
struct no_place
{
    bool areAllTried = false; ///< There are some, but this request has tried them all.
    /// All have more waiting than they can begin in time: the caller had better come back after so
    /// many milliseconds. 0: that isn't why.
    double roomInMs = 0;

    bool operator==(const no_place &) const = default;
};

std::variant<placement, no_place> choosePlace(const place_wish &wish,
                                              std::span<const place_candidate> candidates);

/// @param cached Tokens at its beginning that need not be read.
/// @returns Milliseconds in which an engine of that stage reads a prompt and does nothing else.
double readingTimeMs(engine_stage stage, std::uint32_t promptTokens, std::uint32_t cached);

/// @returns Milliseconds in which that much KV cache is moved between two idle links.
double transferTimeMs(const engine_traits &traits, std::uint32_t tokens);

} // namespace poplarspool::gateway
