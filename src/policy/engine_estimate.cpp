#include "engine_estimate.h"
#include "poplarspool/policy/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::policy {

namespace {

double secondsBetween(mono_time from, mono_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// @returns KV memory pieces that the requests sent since the report will use.
double sentPieces(const runner_rates &rates, std::uint32_t requests, std::uint64_t promptTokens)
{
    const double outputTokens = requests * config::typicalOutputTokens;
    return (static_cast<double>(promptTokens) + outputTokens) * rates.piecesPerToken;
}

/// Estimate for an engine without a recent report. If it were taken as empty, or as it last was, it
/// would receive all requests or none. It is assumed to be at least half used, plus the requests
/// open there, so that work is spread by this instance's own count.
runner_load estimateUnknown(const runner_rates &rates, const load_report &report,
                            const sent_work &sent, double piecesTotal)
{
    runner_load load;
    load.piecesTotal = piecesTotal;
    const double used =
            std::max<double>(report.kvPiecesUsed, piecesTotal * config::unknownLoadShare);
    load.piecesFree =
            piecesTotal - used - sentPieces(rates, sent.open, sent.prefillTokensSinceReport);
    load.requestsAhead =
            std::max(report.running + 0.0, rates.slots * config::unknownLoadShare) + sent.open;
    load.prefillTokens = static_cast<double>(sent.prefillTokensSinceReport);
    return load;
}

} // namespace

load_query loadQueryFor(std::uint32_t rank, mono_time time)
{
    return {time, static_cast<double>(rank) / (rank + 1.0)};
}

runner_load estimateLoad(const runner_rates &rates, const runner_state &state,
                         const sent_work &sent, const load_query &query)
{
    const load_report &report = state.report;
    const double piecesTotal = report.kvPiecesTotal > 0 ? report.kvPiecesTotal : rates.pieces;
    if (!isFreshReport(state, query.time))
        return estimateUnknown(rates, report, sent, piecesTotal);
    runner_load load;
    load.piecesTotal = piecesTotal;
    const double queued = report.queued * query.queueShare;
    // Requests that the report already includes must not be counted twice.
    load.requestsAhead =
            std::max<double>(report.running + queued + sent.openSinceReport, sent.open);
    const double age = secondsBetween(state.reportedAt, query.time);
    const double done = age * config::backlogDrainShare * rates.prefillTokensPerSecond;
    const double reported = static_cast<double>(report.prefillTokensQueued) * query.queueShare;
    const double backlog = std::max(0.0, reported - done);
    load.prefillTokens = backlog + static_cast<double>(sent.prefillTokensSinceReport);
    double used = report.kvPiecesUsed
            + sentPieces(rates, sent.openSinceReport, sent.prefillTokensSinceReport);
    if (report.queued > 0)
        used += queued * report.kvPiecesUsed / std::max(1u, report.running);
    load.piecesFree = piecesTotal - used;
    return load;
}

role_speed speedOf(engine_role role)
{
    switch (role) {
    case engine_role::Mixed:
        return {1, 1};
    case engine_role::Prefill:
        return {config::ownRoleSpeed, config::otherRoleSpeed};
    case engine_role::Decode:
        return {config::otherRoleSpeed, config::ownRoleSpeed};
    }
    return {1, 1};
}

time_estimate estimateEngine(const runner_rates &rates, engine_role role, const runner_load &load,
                             const route_request &wanted)
{
    const role_speed speed = speedOf(role);
    const double prefillTokenSeconds = rates.prefillTokenSeconds / speed.prefill;
    const double decodeTokenSeconds = rates.decodeTokenSeconds / speed.decode;
    const double pieces = (1.0 * wanted.promptTokens + wanted.outputTokens) * rates.piecesPerToken;
    double streamsToEnd = std::max(0.0, load.requestsAhead + 1 - rates.slots);
    // With long prompts KV memory is exhausted before slots are: a request that finds too few free
    // pieces waits in the engine until enough streams have ended.
    if (pieces > load.piecesFree) {
        const double held = std::max(0.0, load.piecesTotal - load.piecesFree);
        const double perStream = std::max(1.0, held / std::max(1.0, load.requestsAhead));
        const double needed = std::ceil((pieces - load.piecesFree) / perStream);
        streamsToEnd = std::max(streamsToEnd, needed);
    }
    const double wait = streamsToEnd * config::typicalOutputTokens * decodeTokenSeconds;
    const double prefill = (load.prefillTokens + wanted.promptTokens) * prefillTokenSeconds;
    const double active = std::min(load.requestsAhead + 1, rates.slots);
    const double perToken = std::max(config::minTokenSeconds, active * decodeTokenSeconds);
    time_estimate estimate;
    estimate.fits = pieces <= load.piecesTotal;
    estimate.startSeconds = wait + prefill;
    estimate.endSeconds = estimate.startSeconds + wanted.outputTokens * perToken;
    estimate.score = estimate.endSeconds;
    return estimate;
}

time_estimate estimateService(const runner_rates &rates, const runner_load &load)
{
    const double turn = config::typicalServiceSeconds / rates.slots;
    time_estimate estimate;
    estimate.startSeconds = std::max(0.0, load.requestsAhead + 1 - rates.slots) * turn;
    estimate.endSeconds = estimate.startSeconds + config::typicalServiceSeconds;
    estimate.score = estimate.endSeconds + load.requestsAhead * turn;
    return estimate;
}

} // namespace poplarspool::policy
