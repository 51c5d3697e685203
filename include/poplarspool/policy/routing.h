#pragma once

#include "poplarspool/policy/view.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace poplarspool::policy {

/// Work that this instance has open at one runner, beyond what its last report can know.
struct sent_work
{
    std::uint32_t open = 0; ///< Requests sent and not ended.
    std::uint32_t openSinceReport = 0; ///< Of these, sent since the report was taken.
    std::uint64_t prefillTokensSinceReport = 0;

    bool operator==(const sent_work &) const = default;
};

/// What is wanted of a runner.
struct route_request
{
    std::string model; ///< For engines.
    std::string service; ///< For plain services.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< At most.
    std::uint64_t prefixHash = 0; ///< Of the prompt's head; 0: no affinity.
    std::uint32_t rank = 0; ///< Priority.
    zone_id zone; ///< Preferred.
    milliseconds timeLeft{0};
    std::vector<runner_handle> avoid; ///< Failed or refused in an earlier try.

    bool operator==(const route_request &) const = default;
};

struct route_choice
{
    runner_handle runner;
    milliseconds expectedStart{0}; ///< Until the first token.
    milliseconds expectedEnd{0};

    bool operator==(const route_choice &) const = default;
};

/// Chooses a runner, or refuses truly "not run": NotFound where nobody carries the model or service
/// by the inventory, TooLarge where its KV memory exceeds that of every engine in reach, Overloaded
/// with retryAfter where it can't be done in time, Unavailable where all who could are away.
/// @param sent One entry per runner of the view.
/// @param tieBreak Any number that differs between requests, and between instances: what is chosen
///                 at random is drawn by it, so instances that count from the same start draw the
///                 same runners.
result<route_choice> route(const view &now, const route_request &wanted,
                           std::span<const sent_work> sent, mono_time time, std::uint64_t tieBreak);

/// @returns Tokens of a prompt by its bytes; the engines' own count is not known beforehand.
std::uint32_t estimateTokens(std::string_view prompt);

/// @returns Hash of the prompt's head, as wide as affinity looks; 0 for a short prompt.
std::uint64_t prefixHashOf(std::string_view model, std::string_view prompt);

/// Addresses to give to a caller, best first: its own zone before others, alive before suspect,
/// leaving and dead never, spread by load.
/// @param zone Where the caller is; invalid: unknown.
std::vector<endpoint> rankAddresses(const view &now, const zone_id &zone, std::uint64_t tieBreak);

} // namespace poplarspool::policy
