#pragma once

#include "poplarspool/policy/routing.h"

/// Estimates of load and completion time at one runner, from its spec, its last report and the
/// requests that this instance has sent since.
namespace poplarspool::policy {

struct runner_load
{
    double requestsAhead = 0; ///< Requests that hold a slot, or will get one before a new request.
    double prefillTokens = 0; ///< Prompt tokens to process before a new request's prompt.
    double piecesTotal = 0;
    double piecesFree = 0;

    bool operator==(const runner_load &) const = default;
};

/// Inputs that are the same for all runners considered for one request.
struct load_query
{
    mono_time time{};
    /// Share of a queue that is served before the request. Reports don't distinguish ranks, so
    /// queues are assumed to be spread over all ranks. Without this discount a long queue of the
    /// lowest class would cause requests of the highest class to be refused, although engines serve
    /// them first.
    double queueShare = 1;
};

load_query loadQueryFor(std::uint32_t rank, mono_time time);

/// Treats a stale report as unknown load, never as an idle runner.
runner_load estimateLoad(const runner_rates &rates, const runner_state &state,
                         const sent_work &sent, const load_query &query);

struct time_estimate
{
    bool fits = true; ///< The request's KV memory doesn't exceed the engine's total memory.
    double startSeconds = 0; ///< Time until the first token.
    double endSeconds = 0;
    double score = 0; ///< For comparing runners; the lowest is the best.

    bool operator==(const time_estimate &) const = default;
};

/// Speed of an engine in a role, relative to its speed in the mixed role.
struct role_speed
{
    double prefill = 1;
    double decode = 1;

    bool operator==(const role_speed &) const = default;
};

role_speed speedOf(engine_role role);

time_estimate estimateEngine(const runner_rates &rates, engine_role role, const runner_load &load,
                             const route_request &wanted);

time_estimate estimateService(const runner_rates &rates, const runner_load &load);

} // namespace poplarspool::policy
