#pragma once

#include "poplarspool/policy/view.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace poplarspool::policy {

/// Work that this instance has in progress at one runner, including work that the runner's last
/// report can't contain yet.
struct sent_work
{
    std::uint32_t open = 0; ///< Requests sent and not finished.
    std::uint32_t openSinceReport = 0; ///< Of these, sent since the report was taken.
    std::uint64_t prefillTokensSinceReport = 0;

    bool operator==(const sent_work &) const = default;
};

/// Input of a routing decision.
struct route_request
{
    std::string model; ///< For engines.
    std::string service; ///< For plain services.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Maximum.
    std::uint64_t prefixHash = 0; ///< Hash of the prompt prefix; 0: no affinity.
    std::uint32_t rank = 0; ///< Priority; the lowest rank is served first.
    zone_id zone; ///< Preferred.
    milliseconds timeLeft{0};
    std::vector<runner_handle> avoid; ///< Runners that failed or refused in an earlier try.

    bool operator==(const route_request &) const = default;
};

struct route_choice
{
    runner_handle runner;
    milliseconds expectedStart{0}; ///< Time until the first token.
    milliseconds expectedEnd{0};

    bool operator==(const route_choice &) const = default;
};

/// Chooses a runner, or refuses the request as not run. Errors: NotFound if the inventory has no
/// runner for the model or service; TooLarge if the request needs more KV memory than each
/// evaluated engine has (at most config::maxEvaluatedRunners are evaluated); Overloaded with
/// retryAfter if it can't finish in time; Unavailable if no runner that could serve it takes work
/// now.
/// @param sent One entry per runner of the view.
/// @param tieBreak Seed of the random choices. Must differ between requests and between instances:
///                 instances that count up from the same start choose the same runners.
result<route_choice> route(const view &now, const route_request &wanted,
                           std::span<const sent_work> sent, mono_time time, std::uint64_t tieBreak);

/// @returns Estimate of a prompt's tokens from its size in bytes, since the engine's own count is
///          not known in advance.
std::uint32_t estimateTokens(std::string_view prompt);

/// @returns Hash of the prompt prefix that prefix affinity uses; 0 if the prompt is shorter.
std::uint64_t prefixHashOf(std::string_view model, std::string_view prompt);

/// Returns addresses of instances for a caller, best first. Order: alive before suspect, not
/// overloaded before overloaded, the caller's zone before others; otherwise random. Leaving and
/// dead instances are left out.
/// @param zone Zone of the caller; invalid: unknown.
std::vector<endpoint> rankAddresses(const view &now, const zone_id &zone, std::uint64_t tieBreak);

} // namespace poplarspool::policy
