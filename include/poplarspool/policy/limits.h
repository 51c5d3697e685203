#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits and weights of the decisions.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Time limit of a request that sets none.
inline constexpr std::chrono::milliseconds defaultTimeLimit = 60s;
/// Age above which a load report is ignored.
inline constexpr std::chrono::milliseconds loadReportExpiry = 3s;
/// Retry budget: retries as a share of requests, and maximum balance of unused retries.
inline constexpr double retryShare = 0.1;
inline constexpr double retryBurst = 20.0;
/// Maximum number of tries of one repeatable request, the first included.
inline constexpr std::uint32_t maxTries = 4;
/// Time for which a claim is kept.
inline constexpr std::chrono::milliseconds claimRetention = 15min;
/// Time for which a drain waits for running streams before they are moved to other engines.
inline constexpr std::chrono::milliseconds drainTimeout = 60s;
/// Assumed number of output tokens of a stream without data, to estimate when a slot becomes free.
inline constexpr double typicalOutputTokens = 256;
/// Minimum time between two tokens of one stream, on an engine without other load, in seconds.
inline constexpr double minTokenSeconds = 0.008;
/// Maximum number of candidates that can serve the request, from which one decision chooses.
inline constexpr std::size_t maxScoredRunners = 32;
/// Number of open requests that each other instance is assumed to have in addition to as many as
/// this instance has (docs/design/routing.md).
inline constexpr double unseenPeerRequests = 0.5;
/// Assumed duration of a call to a plain service without data, in seconds.
inline constexpr double typicalServiceSeconds = 0.05;
/// Assumed use of an engine's concurrency and KV memory while its load report is stale, as a share.
inline constexpr double unknownLoadShare = 0.5;
/// Share of its prefill speed at which an engine is assumed to work off its reported backlog.
inline constexpr double backlogDrainShare = 0.5;
/// Speed of an engine for the work that its role is for, and for other work, as a factor of its
/// speed in the mixed role.
inline constexpr double ownRoleSpeed = 1.5;
inline constexpr double otherRoleSpeed = 0.25;
/// Maximum number of candidates that one decision evaluates, including those that can't meet the
/// time limit.
inline constexpr std::size_t maxEvaluatedRunners = 96;
/// Minimum advantage of a runner in another zone: a time in seconds, and a share of the total
/// duration.
inline constexpr double crossZoneSeconds = 0.015;
inline constexpr double crossZoneShare = 0.10;
/// Maximum wait accepted for prefix affinity, as a share of the prompt's own prefill time.
inline constexpr double affinityWaitShare = 0.5;
/// Maximum requests of an engine preferred by affinity, relative to the mean of all engines: factor
/// and added constant.
inline constexpr double affinityLoadFactor = 1.25;
inline constexpr double affinityLoadSlack = 2;
/// Number of bytes at the start of a prompt that determine its affinity. A shorter prompt has none.
inline constexpr std::size_t affinityPrefixBytes = 512;
/// Bytes of text per token; a conservative estimate.
inline constexpr std::size_t bytesPerToken = 4;
/// Minimum and maximum Retry-After for a refused caller.
inline constexpr std::chrono::milliseconds minRetryAfter = 100ms;
inline constexpr std::chrono::milliseconds maxRetryAfter = 30s;
/// Retry-After if no runner is available: a drain or a role change takes seconds.
inline constexpr std::chrono::milliseconds noRunnerRetryAfter = 2s;
/// Time constant of the moving average of a pool's demand, in seconds.
inline constexpr double demandTimeConstantSeconds = 10;
/// Maximum time between two planner iterations that is taken into account, in seconds: a planner
/// that was paused has not observed the demand for longer.
inline constexpr double maxIterationSeconds = 2;
/// Utilisation of an engine above which requests become late.
inline constexpr double usableEngineShare = 0.85;
/// Time for which an engine is unavailable during a role change, in addition to its drain, in
/// seconds.
inline constexpr double roleChangeSeconds = 5;
/// Factor by which the gain of a role change must exceed its cost at a goodput weight of 0. At a
/// weight of 1 the factor is 1.
inline constexpr double maxPriceFactor = 10;
/// Minimum gain, in engine seconds per second and engine, for another split to count as better.
inline constexpr double minPlanGain = 0.01;
/// Time constant of the decay of accumulated regret while the current split is the best one, in
/// seconds.
inline constexpr double regretDecaySeconds = 5;
/// Maximum streams of an instance, relative to the mean of all instances, above which callers are
/// referred to others: factor and added constant.
inline constexpr double addressLoadFactor = 1.25;
inline constexpr double addressLoadSlack = 4;
/// Maximum number of addresses in one reply, and minimum number of those in other zones, as far as
/// there are any.
inline constexpr std::size_t maxRankedAddresses = 16;
inline constexpr std::size_t minOtherZoneAddresses = 4;

} // namespace poplarspool::config
