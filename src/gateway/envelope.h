#pragma once

#include "poplarspool/crashes/crash_records.h"
#include "poplarspool/gateway/dialect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::gateway {

/// A part of a prompt. Prompts with the same beginning share their first parts.
struct prompt_part
{
    std::uint64_t chain = 0; ///< Hash of this part and all before it: the key of a cached prefix.
    std::uint32_t tokens = 0;
    std::uint64_t id = 0; ///< Hash of this part's id alone.

    bool operator==(const prompt_part &) const = default;
};

/// The metadata that the gateway reads from a request; everything else passes through.
struct envelope
{
    std::string id;
    std::optional<milliseconds> timeLimit;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Maximum.
    std::vector<prompt_part> prompt;
    std::string lastEventId;
    std::string resumes; ///< Id of the attempt that began the stream that is taken up.

    bool operator==(const envelope &) const = default;
};

/// Values that can't be parsed count as absent: the runner, which knows their format better,
/// rejects or accepts them.
envelope readEnvelope(const http_request &request, const dialect &names);

/// @returns The ids of all parts but the last, for a log line: at most config::maxLoggedParts, each
///          shortened.
std::string sharedPartsText(const http_request &request, const dialect &names);

/// @param workspace Of the caller; empty: none.
/// @param seed See digestOf().
/// @returns The keys of all parts but the last, which belongs to the request alone: at most
///          config::maxSuspectParts.
std::vector<crashes::part_suspect> partSuspectsOf(const std::vector<prompt_part> &prompt,
                                                  std::string_view workspace, std::uint64_t seed);

/// @param seed The same on all instances and unknown to callers, who otherwise could make requests
///             with another request's digest.
/// @returns The digest that all attempts of the same request share: of its method, host, path and
///          body. Ids, time limits and other headers that a caller sets anew for each attempt are
///          not included.
std::uint64_t digestOf(const http_request &request, std::uint64_t seed);

/// The headers that one send adds to or changes in a request.
struct send_extras
{
    std::string runner;
    milliseconds timeLeft{0};
    std::optional<std::uint32_t> priority;
    std::string lastEventId; ///< Empty: as the caller sent it.
    std::string kvSource;
    std::string kvFetch;
    bool isPrefillOnly = false;
    std::string workspace; ///< Workspace whose key the caller sent; empty: none.
    bool hidesKey = false; ///< The key is not passed on.
};

/// @returns The head of the request to a runner, without hop-by-hop headers and without headers
///          that callers may not set. The request's body follows it.
std::string runnerRequestHead(const http_request &request, const endpoint &to, const dialect &names,
                              const send_extras &extras);

/// @returns The headers of a runner's reply that are passed on to the caller.
http_headers forwardedReplyHeaders(const http_headers &headers);

} // namespace poplarspool::gateway
