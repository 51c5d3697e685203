#pragma once

#include "bench/load_call.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::bench {

/// Prompt and output length of one kind of completion, in tokens.
struct mix_entry
{
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;

    bool operator==(const mix_entry &) const = default;
};

/// @param text Comma-separated PROMPT:OUTPUT pairs, for example "2000:50,100:400".
/// @throws usage_error
std::vector<mix_entry> parseMix(std::string_view text);

/// Describes the load. The plan and a request's number determine the request completely.
struct load_plan
{
    /// Unique for each run and part of every key, so that runs do not share claims.
    std::string run;
    std::vector<mix_entry> mix;
    /// If set, one entry of the mix is used at a time, for this long each.
    std::optional<std::chrono::seconds> shift;
    std::vector<std::string> models;
    std::vector<std::string> services;
    std::string servicePath = "/orders"; ///< Path within the service, without the last segment.
    double serviceShare = 0; ///< Share of service calls among all requests.
    /// Share of calls with an idempotency key among service calls.
    double keyShare = 1;
    double streamShare = 1; ///< Share of streamed requests among completions.
    std::uint32_t workspaces = 8;
    milliseconds timeLimit{60000};
};

/// @returns The request with that number.
/// @param elapsed Time since the start of the run.
load_call makeCall(const load_plan &plan, std::uint64_t number, std::chrono::nanoseconds elapsed);

} // namespace poplarspool::bench
