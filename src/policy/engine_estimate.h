#pragma once

#include "poplarspool/policy/routing.h"

/// What a request would meet at one runner, from the runner's spec, its lagging report and what
/// this instance sent since.
namespace poplarspool::policy {

struct runner_load
{
    double ahead = 0; ///< Requests that hold a slot or get one before a new request.
    double prefillTokens = 0; ///< To be worked off before a new request's prompt.
    double piecesTotal = 0;
    double piecesFree = 0;

    bool operator==(const runner_load &) const = default;
};

/// What is the same for all runners that one request is compared on.
struct load_question
{
    mono_time time{};
    /// Share of a queue that goes before the request. Reports don't tell ranks apart, so a queue is
    /// taken to be spread over them: without the discount a long queue of the lowest class would
    /// get the highest class refused, although engines would let it go ahead.
    double queueShare = 1;
};

load_question questionOf(std::uint32_t rank, mono_time time);

/// A stale report counts as unknown load, never as empty.
runner_load estimateLoad(const runner_rates &rates, const runner_state &state,
                         const sent_work &sent, const load_question &question);

struct time_estimate
{
    bool fits = true; ///< The request's KV memory is not beyond the engine's whole memory.
    double startSeconds = 0; ///< Until the first token.
    double endSeconds = 0;
    double score = 0; ///< By which runners are compared; the least is the best.

    bool operator==(const time_estimate &) const = default;
};

/// Speed of an engine in some role, as a share of its speed in mixed role.
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
