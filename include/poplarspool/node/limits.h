#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits and intervals of an instance.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Number of times that a request's body exists while the request is at work: as received, parsed
/// or copied for its runner, in the library's request and in the text that is sent.
inline constexpr std::size_t requestBodyCopies = 4;
/// Maximum number of idle pooled connections per target.
inline constexpr std::size_t maxIdleConnections = 64;
/// Minimum time between two rumors of the same runner's load or of the same instance's demand.
inline constexpr std::chrono::milliseconds minLoadRumorInterval = 1s;
/// Time after which an unchanged load is sent again as a rumor.
inline constexpr std::chrono::milliseconds loadRumorRefreshInterval = 2s;
/// Number of consecutive failed polls after which a runner is considered down.
inline constexpr std::uint32_t pollFailuresToDown = 2;
/// Time for which a runner is ejected on this instance after it refused a connection: no new
/// requests are sent to it.
inline constexpr std::chrono::milliseconds connectFailureEjectionTime = 1s;
/// Pause before a stream that lost its engine tries again to find another one.
inline constexpr std::chrono::milliseconds resumeRetryPause = 100ms;
/// Backoff between tries of one store call: initial and maximum.
inline constexpr std::chrono::milliseconds initialStoreBackoff = 50ms;
inline constexpr std::chrono::milliseconds maxStoreBackoff = 5s;
/// Maximum backoff between tries to read the configuration from the store. Together with the times
/// of a watch and of gossip it stays below the 11 s within which a configuration must take effect.
inline constexpr std::chrono::milliseconds maxSyncBackoff = 2s;
/// Time for which one watch of the configuration waits. Each completed watch confirms the view.
inline constexpr std::chrono::milliseconds configWatchTimeout = 3s;
/// Time limit within which an operator's change is accepted or refused.
inline constexpr std::chrono::milliseconds configApplyTimeout = 8s;
/// Age of the last confirmation above which a view is no longer fresh.
inline constexpr std::chrono::milliseconds maxFreshAge = 10s;
/// Time for which a view stays fresh after a majority of the instances was found reachable.
inline constexpr std::chrono::milliseconds majorityCheckValidity = 1s;
/// Margin for a confirmation received from a peer, which may be older than it appears, and for
/// differences in clock rate.
inline constexpr std::chrono::milliseconds freshMargin = 2s;
/// Time for which an instance is remembered after it has left the gossip membership.
inline constexpr std::chrono::milliseconds departedRetention = 2min;
/// Number of instances per availability zone that watch the store. The others receive changes from
/// them by gossip.
inline constexpr std::size_t watchersPerZone = 3;
/// Interval at which the instance list is polled.
inline constexpr std::chrono::milliseconds instanceListPollInterval = 5s;
/// Time for which claims are batched before one conditional write.
inline constexpr std::chrono::milliseconds claimBatchTime = 3ms;
/// Number of claim buckets of a deployment.
inline constexpr std::uint32_t claimBuckets = 16;
/// Maximum size of a claimed request's answer that is stored for its duplicates, in bytes.
inline constexpr std::size_t maxStoredAnswerBytes = 64 * 1024;
/// Maximum size of all stored answers of one instance, including the records of their attempts, in
/// bytes.
inline constexpr std::size_t maxAnswerTableBytes = 8 * 1024 * 1024;
/// Maximum number of claims added by one conditional write.
inline constexpr std::size_t maxClaimBatch = 512;
/// Time limit of one try to write a claim.
inline constexpr std::chrono::milliseconds claimTryTimeout = 2s;
/// Maximum pause requested by the store client that a claim waits for. On a longer pause the store
/// is considered down.
inline constexpr std::chrono::milliseconds maxClaimStoreWait = 250ms;
/// Retry-After for a claim bucket that is full, and for a claim whose write is undecided.
inline constexpr std::chrono::milliseconds claimRetryAfter = 1s;
/// Window in which the writer of an order may send it; it starts before the order is written.
inline constexpr std::chrono::milliseconds orderWindow = 2s;
/// Time that a successor waits after the window: clock margin and delivery limit.
inline constexpr std::chrono::milliseconds orderMargin = 1s;
/// Time for which TCP may retransmit a sent order; well below orderMargin.
inline constexpr std::chrono::milliseconds orderDeliveryTimeout = 500ms;
/// Time for which an engine must report that it is idle, because its reports lag behind its work.
inline constexpr std::chrono::milliseconds requiredIdleTime = 1s;
/// Time after which an order without visible effect is sent again, unchanged and under the same
/// number.
inline constexpr std::chrono::milliseconds orderResendInterval = 5s;
/// Time for which an engine gets no orders after an order to it was withdrawn or could not start.
inline constexpr std::chrono::milliseconds orderHoldTime = 10s;

} // namespace poplarspool::config
