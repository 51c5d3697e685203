#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every limit and default of the product, in one place. Values an operator may change are only the
/// defaults here; docs/SETTINGS.md lists the keys that override them.
namespace poplarspool::config {

using namespace std::chrono_literals;

// --- Towards callers ---------------------------------------------------------------------------

/// Bytes of one request's headers.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;
/// Bytes of one request's body.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Connections of callers that one instance holds open; one thread each.
inline constexpr std::uint32_t maxCallerConnections = 1200;
/// Time in which a caller must have sent its whole request.
inline constexpr std::chrono::milliseconds requestReadTime = 10s;
/// Time that one write towards a caller may block before the caller is given up.
inline constexpr std::chrono::milliseconds callerWriteTime = 10s;
/// Idle time after which a kept-alive connection is closed.
inline constexpr std::chrono::milliseconds keepAliveTime = 15s;
/// Requests served on one kept-alive connection.
inline constexpr std::size_t keepAliveRequests = 10000;
/// Seconds for which callers may keep the answer of /v1/addresses.
inline constexpr std::chrono::seconds addressKeepTime = 10s;
/// Longest time limit that a caller may ask for.
inline constexpr std::chrono::milliseconds maxTimeLimit = 10min;
/// Time limit of a request that names none.
inline constexpr std::chrono::milliseconds defaultTimeLimit = 60s;
/// Bytes of an idempotency key, request id, workspace or caller name.
inline constexpr std::size_t maxNameBytes = 128;
/// Tokens that one completion may ask for.
inline constexpr std::uint32_t maxOutputTokens = 32768;

// --- Towards targets ---------------------------------------------------------------------------

/// Time to connect to a target or peer.
inline constexpr std::chrono::milliseconds connectTime = 500ms;
/// Idle connections kept per target.
inline constexpr std::size_t maxIdleConnections = 64;
/// Time between two load reports polled from one runner.
inline constexpr std::chrono::milliseconds loadPollTime = 250ms;
/// Age at which a load report no longer says anything about its runner.
inline constexpr std::chrono::milliseconds loadStaleTime = 3s;
/// Bytes of one line of an engine's stream.
inline constexpr std::size_t maxStreamLineBytes = 256 * 1024;

// --- Towards the platform ----------------------------------------------------------------------

/// Bytes of one object, the platform's own limit.
inline constexpr std::size_t maxObjectBytes = 1024 * 1024;
/// Time for one call to the object API.
inline constexpr std::chrono::milliseconds storeCallTime = 2s;
/// Time that one watch waits at the store before it answers that nothing changed.
inline constexpr std::chrono::milliseconds storeWatchTime = 20s;
/// Calls a second that one instance allows itself, in the long run, and at once.
inline constexpr double storeCallsPerSecond = 20.0;
inline constexpr double storeCallBurst = 40.0;
/// Back-off between tries of one store call: first, and bound.
inline constexpr std::chrono::milliseconds storeBackoffFirst = 50ms;
inline constexpr std::chrono::milliseconds storeBackoffMax = 5s;
/// Time between two polls of the instance list.
inline constexpr std::chrono::milliseconds instanceListPollTime = 5s;

// --- Between instances -------------------------------------------------------------------------

/// Bytes of one datagram, below the usual MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Time between two gossip rounds of one instance.
inline constexpr std::chrono::milliseconds gossipTime = 200ms;
/// Peers told per gossip round.
inline constexpr std::size_t gossipFanout = 3;
/// Bytes a second that one instance spends on gossip (letter 1 allows 17 KB for all control).
inline constexpr std::size_t gossipBytesPerSecond = 12 * 1024;
/// Silence after which a member is suspected, and a suspect is taken for dead.
inline constexpr std::chrono::milliseconds suspectTime = 1500ms;
inline constexpr std::chrono::milliseconds deadTime = 4s;
/// Bytes of one rumor's payload.
inline constexpr std::size_t maxRumorBytes = 512;
/// Bytes of one call between instances.
inline constexpr std::size_t maxPeerCallBytes = 2 * 1024 * 1024;
/// Time for one call between instances.
inline constexpr std::chrono::milliseconds peerCallTime = 2s;
/// Members that one instance can know.
inline constexpr std::size_t maxMembers = 1024;

// --- Requests ----------------------------------------------------------------------------------

/// Retries as a share of requests, and the retries saved up at most.
inline constexpr double retryShare = 0.1;
inline constexpr double retryBurst = 20.0;
/// Tries of one repeatable request, the first among them.
inline constexpr std::uint32_t maxTries = 4;
/// Time that claims are gathered before one conditional write.
inline constexpr std::chrono::milliseconds claimBatchTime = 3ms;
/// Claim buckets of a deployment.
inline constexpr std::uint32_t claimBuckets = 16;
/// Time for which a claim is remembered.
inline constexpr std::chrono::milliseconds claimKeepTime = 15min;
/// Bytes of an answer to a claimed request that are kept for its duplicates.
inline constexpr std::size_t maxKeptAnswerBytes = 64 * 1024;

// --- Orders and plans --------------------------------------------------------------------------

/// Window, from before the write of an order, in which its writer may send it.
inline constexpr std::chrono::milliseconds orderWindow = 2s;
/// What a successor waits beyond the window: clock margin and delivery bound.
inline constexpr std::chrono::milliseconds orderMargin = 1s;
/// Time between two looks of a planner at its pool.
inline constexpr std::chrono::milliseconds planTime = 500ms;
/// Time that a drain waits for running streams before they are moved.
inline constexpr std::chrono::milliseconds drainTime = 60s;

// --- Seeing ------------------------------------------------------------------------------------

/// Events that one instance's ring keeps.
inline constexpr std::size_t eventRingSize = 4096;

} // namespace poplarspool::config
