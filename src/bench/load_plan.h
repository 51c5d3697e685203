#pragma once

#include "bench/load_call.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::bench {

/// Lengths of one kind of completion, in tokens.
struct mix_entry
{
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;

    bool operator==(const mix_entry &) const = default;
};

/// @param text Such as "2000:50,100:400".
/// @throws usage_error
std::vector<mix_entry> parseMix(std::string_view text);

/// What is sent; together with a request's number it says everything about that request.
struct load_plan
{
    std::string run; ///< Unique per run: part of every key, so that no run meets another's claims.
    std::vector<mix_entry> mix;
    std::optional<std::chrono::seconds> shift; ///< One entry of the mix at a time, each so long.
    std::vector<std::string> models;
    std::vector<std::string> services;
    std::string servicePath = "/orders"; ///< Of the service's own paths.
    double serviceShare = 0; ///< Calls of services among all requests.
    double keyShare = 1; ///< Calls that must not be repeated, among those of services.
    double streamShare = 1; ///< Streamed ones among completions.
    std::uint32_t workspaces = 8;
    milliseconds timeLimit{60000};
};

/// @param elapsed Since the start of the run.
load_call callOf(const load_plan &plan, std::uint64_t number, std::chrono::nanoseconds elapsed);

} // namespace poplarspool::bench
