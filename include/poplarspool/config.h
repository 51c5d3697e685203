#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits and defaults of the instance. Values that an operator may change have their defaults
/// here; docs/SETTINGS.md lists the settings keys that override them.
namespace poplarspool::config {

using namespace std::chrono_literals;

// --- Callers -----------------------------------------------------------------------------------

/// Maximum size of one request's headers, in bytes.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;
/// Maximum size of one request's body, in bytes.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Maximum nesting depth of JSON received from outside. JSON values are copied and destroyed
/// recursively, on thread stacks of connectionStackBytes.
inline constexpr std::size_t maxJsonDepth = 64;
/// Maximum number of open caller connections of one instance. Each takes one thread.
inline constexpr std::uint32_t maxCallerConnections = 1200;
/// Time limit for receiving a whole request from a caller.
inline constexpr std::chrono::milliseconds requestReadTimeout = 10s;
/// Time for which one write to a caller may block before its connection is closed.
inline constexpr std::chrono::milliseconds callerWriteTimeout = 10s;
/// Idle time after which the server closes a keep-alive connection.
inline constexpr std::chrono::milliseconds keepAliveTimeout = 15s;
/// Maximum number of requests served on one keep-alive connection.
inline constexpr std::size_t keepAliveRequests = 10000;
/// Backlog of a listening socket: connections the kernel queues until the server accepts them.
inline constexpr int listenBacklog = 4096;
/// Stack size of a connection thread. Only the pages it touches take up memory.
inline constexpr std::size_t connectionStackBytes = 512 * 1024;
/// Time for which an idle connection thread waits for another connection before it ends.
inline constexpr std::chrono::milliseconds idleThreadTimeout = 2s;
/// Time for which a connection stays half-closed after an early reply, so that the caller can read
/// the reply before the connection is closed.
inline constexpr std::chrono::milliseconds lingeringCloseTimeout = 1s;
/// Time for which callers may cache the reply of /v1/addresses, in seconds.
inline constexpr std::chrono::seconds addressKeepTime = 10s;
/// Maximum time limit that a request may set.
inline constexpr std::chrono::milliseconds maxTimeLimit = 10min;
/// Time limit of a request that sets none.
inline constexpr std::chrono::milliseconds defaultTimeLimit = 60s;
/// Maximum length of an idempotency key, request id, workspace or caller name, in bytes.
inline constexpr std::size_t maxNameBytes = 128;
/// Maximum number of output tokens that a completion may request.
inline constexpr std::uint32_t maxOutputTokens = 32768;
/// Maximum number of output tokens of a completion that sets no limit.
inline constexpr std::uint32_t defaultOutputTokens = 256;
/// Maximum length of a bearer key, in bytes.
inline constexpr std::size_t maxBearerKeyBytes = 1024;
/// Maximum size of an answer collected for a caller that didn't request streaming, in bytes.
inline constexpr std::size_t maxCollectedAnswerBytes = 4 * 1024 * 1024;
/// Number of tokens of a collected answer between two checks that the caller is still connected.
inline constexpr std::uint32_t callerGoneCheckTokens = 16;

// --- Targets -----------------------------------------------------------------------------------

/// Time limit for connecting to a target or peer.
inline constexpr std::chrono::milliseconds connectTimeout = 500ms;
/// Maximum number of idle pooled connections per target.
inline constexpr std::size_t maxIdleConnections = 64;
/// Idle time after which a pooled connection is closed. Shorter than keepAliveTimeout and than the
/// 5 s that are the default of many servers, so that a request is rarely sent on a connection that
/// its server is closing.
inline constexpr std::chrono::milliseconds idleConnectionTimeout = 4s;
/// Interval at which expired idle connections are closed.
inline constexpr std::chrono::milliseconds poolSweepInterval = 1s;
/// Maximum size of a reply body collected in memory, and of the headers of any reply, in bytes.
inline constexpr std::size_t maxReplyBytes = 64 * 1024 * 1024;
inline constexpr std::size_t maxReplyHeaderBytes = 64 * 1024;
/// Interval at which load reports are polled from a runner.
inline constexpr std::chrono::milliseconds loadPollInterval = 250ms;
/// Age above which a load report is ignored.
inline constexpr std::chrono::milliseconds loadReportExpiry = 3s;
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
/// Maximum length of one line of an engine's stream, in bytes.
inline constexpr std::size_t maxStreamLineBytes = 256 * 1024;
/// Time limit of a short call to a target: load report, cancellation, cache events.
inline constexpr std::chrono::milliseconds targetCallTimeout = 1s;
/// Time limit for transferring one stream's KV cache to or from an engine.
inline constexpr std::chrono::milliseconds kvTransferTimeout = 10s;
/// Maximum number of bytes read of a target's error reply.
inline constexpr std::size_t maxTargetErrorBytes = 16 * 1024;

// --- Platform ----------------------------------------------------------------------------------

/// Maximum size of one object in bytes, as set by the platform.
inline constexpr std::size_t maxObjectBytes = 1024 * 1024;
/// Time limit of one call to the object API.
inline constexpr std::chrono::milliseconds storeCallTimeout = 2s;
/// Time after which the store answers a watch request without a change.
inline constexpr std::chrono::milliseconds storeWatchTimeout = 20s;
/// Rate limit of one instance's store calls: sustained rate in calls per second, and burst size.
inline constexpr double storeCallsPerSecond = 20.0;
inline constexpr double storeCallBurst = 40.0;
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

// --- Between instances -------------------------------------------------------------------------

/// Maximum size of one datagram in bytes, below the usual MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Interval between two gossip rounds of one instance.
inline constexpr std::chrono::milliseconds gossipInterval = 200ms;
/// Number of peers that an instance sends to in one gossip round.
inline constexpr std::size_t gossipFanout = 3;
/// Maximum gossip traffic that one instance sends, in bytes per second. It receives as much again,
/// and the users allow 17 KB per second for all control traffic.
inline constexpr std::size_t gossipBytesPerSecond = 8 * 1024;
/// Time without an answer after which a member becomes suspect, and time after which a suspect
/// member is declared dead.
inline constexpr std::chrono::milliseconds probeTimeout = 1500ms;
inline constexpr std::chrono::milliseconds suspicionTimeout = 4s;
/// Interval at which an instance sends load updates: what it has sent to runners.
inline constexpr std::chrono::milliseconds loadUpdateInterval = 40ms;
/// Maximum number of load updates that an instance sends per second to its own zone and to all
/// others; above it, loadUpdateInterval grows. With a third of these rates, prompts in a fleet of
/// 67 queue behind each other at engines that seem idle.
inline constexpr std::size_t sameZoneLoadUpdatesPerSecond = 400;
inline constexpr std::size_t otherZonesLoadUpdatesPerSecond = 300;
/// Number of instances above which the load updates of the whole fleet no longer grow: each
/// instance handles a smaller share of the requests and has less to report. Without this limit, 295
/// instances send and receive 206,000 datagrams per second, 3.4 times as many as 87 do.
inline constexpr std::size_t loadUpdateFullRateFleet = 96;
/// Maximum interval between two load updates to the same instances: a request lasts for less. A
/// group of instances that can't be told as often is told nothing.
inline constexpr std::chrono::milliseconds maxLoadUpdateInterval = 4s;
/// Number of other instances in a zone from which they send one digest to each other zone.
inline constexpr std::size_t minZonePeersForDigest = 8;
/// Runners in one part of a digest, on the average: parts are of different sizes.
inline constexpr std::size_t digestPartItems = 40;
/// Maximum number of parts of a digest: those of 10,000 busy runners.
inline constexpr std::uint32_t maxDigestParts = 256;
/// Maximum numbers of entries in one load update, so that it fits into a datagram.
inline constexpr std::size_t maxLoadItems = 64;
inline constexpr std::size_t maxCachedPrefixes = 48;
/// Number of other instances from which on two relays watch the platform's store for them. If one
/// relay dies, freezes or is rejected by the store, the others need not query the store themselves.
/// With fewer instances, the second relay costs more store calls than it saves.
inline constexpr std::size_t minOthersForTwoRelays = 32;
/// Interval between two datagrams of a relay without changes, and time without a datagram after
/// which a relay is considered gone. Two datagrams may be lost.
inline constexpr std::chrono::milliseconds storeUpdateInterval = 250ms;
inline constexpr std::chrono::milliseconds relaySilenceLimit = 700ms;
/// Maximum delay before an instance takes over from a relay that has gone silent. It is ten times
/// the transit time of a datagram, so that only a few of 50 instances that notice at the same time
/// take over.
inline constexpr std::chrono::milliseconds maxTakeoverDelay = 500ms;
/// Time for which a silent relay is remembered, and by which clock differences and datagram delays
/// between two instances may make a confirmation appear newer than it was.
inline constexpr std::chrono::milliseconds relayRetention = 2s;
/// Maximum wait for a datagram. Only determines how often the thread checks whether to stop.
inline constexpr std::chrono::milliseconds storeUpdateIdleTime = 5s;
/// Time for which a relayed change is repeated, in four datagrams. An instance that still lacks the
/// change afterwards reads it from the store.
inline constexpr std::chrono::milliseconds relayedChangeRetention = 1s;
/// Limits of one datagram of relayed changes: number of kinds, number of changes of a kind, bytes
/// of one change, bytes of all changes.
inline constexpr std::size_t maxUpdateKinds = 4;
inline constexpr std::size_t maxRelayedChanges = 32;
inline constexpr std::size_t maxChangeBytes = 1150;
inline constexpr std::size_t maxRelayedBytes = 1150;
/// Maximum number of datagrams for the changes of one call to the store: those of 8,000 runners.
inline constexpr std::size_t maxUpdateParts = 256;
/// Number of recipients up to which a relay sends to each of them. With more, it sends to a few
/// instances that forward its datagrams: its own link and processor must not limit the fleet.
inline constexpr std::size_t maxDirectRecipients = 64;
/// Maximum number of instances to which one instance forwards; their addresses are in the datagram.
inline constexpr std::size_t maxForwardGroup = 15;
/// Maximum size of one rumor's payload, in bytes.
inline constexpr std::size_t maxRumorBytes = 512;
/// Maximum size of one call between instances, in bytes.
inline constexpr std::size_t maxPeerCallBytes = 2 * 1024 * 1024;
/// Time limit of one call between instances.
inline constexpr std::chrono::milliseconds peerCallTimeout = 2s;
/// Maximum number of members in one instance's membership table.
inline constexpr std::size_t maxMembers = 1024;
/// Interval between two heartbeats of one instance. It is longer in deployments with so many
/// members that the heartbeats would exceed the byte budget.
inline constexpr std::chrono::milliseconds heartbeatInterval = 1s;
/// Number of members that are requested to probe a member that did not answer.
inline constexpr std::size_t indirectProbes = 3;
/// Time for which a dead member is remembered, so that a delayed update can't revive it.
inline constexpr std::chrono::milliseconds deadRetention = 10min;
/// Interval between two pages of the full state, which make up for lost deltas.
inline constexpr std::chrono::milliseconds gossipPageInterval = 2s;
/// Maximum share of the gossip budget for heartbeats.
inline constexpr double heartbeatBudgetShare = 0.67;
/// Share of a datagram's updates that is reserved for rumors. They also use the space that
/// heartbeats leave.
inline constexpr double rumorShare = 0.25;
/// Size of the IP and UDP headers in bytes, which also count against the budget.
inline constexpr std::size_t datagramOverheadBytes = 28;
/// Number of datagrams by which those of one sender may arrive out of order.
inline constexpr std::size_t replayWindowSize = 1024;
/// Maximum number of rumors that one instance keeps, and time after which a rumor that isn't
/// refreshed is dropped.
inline constexpr std::size_t maxRumors = 4096;
inline constexpr std::chrono::milliseconds rumorRetention = 30s;
/// Maximum number of peer connections that one instance serves. Each takes one thread.
inline constexpr std::size_t maxPeerConnections = 256;
/// Maximum number of idle connections per peer, and idle time after which one is closed.
inline constexpr std::size_t maxIdlePeerConnections = 4;
inline constexpr std::chrono::milliseconds peerIdleTimeout = 60s;
/// Limits of one message between instances.
inline constexpr std::size_t maxWireObjects = 8192;
inline constexpr std::size_t maxWireHeaders = 256;
inline constexpr std::size_t maxWireEvents = 65536;
inline constexpr std::size_t maxWireEventFields = 64;
inline constexpr std::size_t maxWireKeyBytes = 1024;

// --- Requests ----------------------------------------------------------------------------------

/// Retry budget: retries as a share of requests, and maximum balance of unused retries.
inline constexpr double retryShare = 0.1;
inline constexpr double retryBurst = 20.0;
/// Maximum number of tries of one repeatable request, the first included.
inline constexpr std::uint32_t maxTries = 4;
/// Time for which claims are batched before one conditional write.
inline constexpr std::chrono::milliseconds claimBatchTime = 3ms;
/// Number of claim buckets of a deployment.
inline constexpr std::uint32_t claimBuckets = 16;
/// Time for which a claim is kept.
inline constexpr std::chrono::milliseconds claimRetention = 15min;
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

// --- Orders and plans --------------------------------------------------------------------------

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
/// Interval between two iterations of the planner of a pool.
inline constexpr std::chrono::milliseconds planInterval = 500ms;
/// Time for which a drain waits for running streams before they are moved to other engines.
inline constexpr std::chrono::milliseconds drainTimeout = 60s;

// --- Decisions ---------------------------------------------------------------------------------

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

// --- Failed steps ------------------------------------------------------------------------------

/// Pause of a long-lived thread after a failed step.
inline constexpr std::chrono::milliseconds failedStepPause = 200ms;

// --- Observability -----------------------------------------------------------------------------

/// Number of events in one instance's ring buffer.
inline constexpr std::size_t eventRingSize = 4096;
/// Maximum number of log lines that one process writes per second. Further lines are dropped and
/// counted.
inline constexpr std::uint64_t maxLogLinesPerSecond = 500;
/// Time limit for writing the last log line of a process, which reports the exception that ends it.
inline constexpr std::chrono::milliseconds finalLogLineTimeout = 1s;
/// Maximum lead of a peer's wall clock over the local one. Timestamps further ahead don't advance
/// the local hybrid clock.
inline constexpr std::chrono::milliseconds maxClockLead = 10min;

// --- Inventory, rules and operators ------------------------------------------------------------

/// Limits of an inventory.
inline constexpr std::size_t maxZones = 64;
inline constexpr std::size_t maxPools = 64;
inline constexpr std::size_t maxRunners = 4096;
inline constexpr std::size_t maxModels = 64;
inline constexpr std::size_t maxAdapters = 1024;
/// Limits of the rules.
inline constexpr std::size_t maxClasses = 16;
inline constexpr std::size_t maxCallers = 4096;
inline constexpr std::size_t maxWorkspaces = 16384;
inline constexpr std::size_t maxRequestRules = 1024;
/// Minimum and maximum length of the secret that the instances share, in bytes.
inline constexpr std::size_t minPeerKeyBytes = 16;
inline constexpr std::size_t maxPeerKeyBytes = 256;
/// Maximum size of one request to the operator address, in bytes: two files of maxObjectBytes,
/// escaped.
inline constexpr std::size_t maxOperatorBodyBytes = 5 * 1024 * 1024;
/// Maximum number of connections to the operator address.
inline constexpr std::uint32_t maxOperatorConnections = 32;
/// Time limit of one call made by an operator command.
inline constexpr std::chrono::milliseconds operatorCallTimeout = 10s;
/// Number of accepted changes recorded in the configuration's head, so that a late retry gets the
/// correct answer.
inline constexpr std::size_t headHistorySize = 16;

} // namespace poplarspool::config
