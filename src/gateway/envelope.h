#pragma once

#include "poplarspool/gateway/dialect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::gateway {

/// A part of a prompt. Requests whose prompts begin alike share their first parts.
struct prompt_part
{
    std::uint64_t chain =
            0; ///< Hash of this part and all before it: what a cache can be asked for.
    std::uint32_t tokens = 0;

    bool operator==(const prompt_part &) const = default;
};

/// What the gateway reads of a request; all else passes through.
struct envelope
{
    std::string id;
    std::optional<milliseconds> timeLimit;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< At most.
    std::vector<prompt_part> prompt;
    std::string lastEvent;

    bool operator==(const envelope &) const = default;
};

/// Values that can't be read count as absent: the runner, which knows them better, decides.
envelope readEnvelope(const http_request &request, const dialect &names);

/// @param seed The same on all instances; unknown to callers, who could else make requests that
/// look
///             like another's.
/// @returns What all attempts of the same request have in common: its method, host, path and body.
///          Ids, time limits and what else a caller sets anew for each attempt don't count.
std::uint64_t digestOf(const http_request &request, std::uint64_t seed);

/// @returns The digest as 16 hex digits.
std::string digestText(std::uint64_t digest);

/// What one send adds to a request.
struct send_extras
{
    std::string runner;
    milliseconds timeLeft{0};
    std::optional<std::uint32_t> priority;
    std::string lastEvent; ///< Empty: as the caller sent it.
    std::string kvSource;
    std::string kvFetch;
    bool isPrefillOnly = false;
    std::string workspace; ///< Whose key the caller has shown; empty: nobody's.
    bool hidesKey = false; ///< The key is not passed on.
};

/// @returns The request as it goes to a runner, as text: without what concerns only the caller's
///          connection, and without what callers may not set.
std::string runnerRequestText(const http_request &request, const endpoint &to, const dialect &names,
                              const send_extras &extras);

/// @returns The headers of a runner's reply that are passed on to the caller.
http_headers passedReplyHeaders(const http_headers &headers);

} // namespace poplarspool::gateway
