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
/// Connections that the kernel holds for a server until it accepts them.
inline constexpr int listenBacklog = 4096;
/// Stack of a thread that serves a connection; only what it touches takes memory.
inline constexpr std::size_t connectionStackBytes = 512 * 1024;
/// Time that a thread without a connection is kept for the next one.
inline constexpr std::chrono::milliseconds idleThreadTime = 2s;
/// Time that a connection stays half open after an early reply, so that the caller can read it.
inline constexpr std::chrono::milliseconds closeTime = 1s;
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
/// Tokens of a completion that names no bound.
inline constexpr std::uint32_t defaultOutputTokens = 256;
/// Bytes of a bearer key.
inline constexpr std::size_t maxBearerKeyBytes = 1024;
/// Bytes of an answer that is gathered for a caller who wants it in one piece.
inline constexpr std::size_t maxGatheredAnswerBytes = 4 * 1024 * 1024;
/// Tokens of a gathered answer between two looks whether the caller is still there.
inline constexpr std::uint32_t goneLookTokens = 16;

// --- Towards targets ---------------------------------------------------------------------------

/// Time to connect to a target or peer.
inline constexpr std::chrono::milliseconds connectTime = 500ms;
/// Idle connections kept per target.
inline constexpr std::size_t maxIdleConnections = 64;
/// Idle time after which a pooled connection is closed; below our keepAliveTime and the 5 s that
/// many servers keep, so that a request seldom meets a connection that its server is just closing.
inline constexpr std::chrono::milliseconds idleConnectionTime = 4s;
/// Time between two looks for idle connections that have expired.
inline constexpr std::chrono::milliseconds poolSweepTime = 1s;
/// Bytes of a reply's body that is gathered in memory, and of any reply's headers.
inline constexpr std::size_t maxReplyBytes = 64 * 1024 * 1024;
inline constexpr std::size_t maxReplyHeaderBytes = 64 * 1024;
/// Time between two load reports polled from one runner.
inline constexpr std::chrono::milliseconds loadPollTime = 250ms;
/// Age at which a load report no longer says anything about its runner.
inline constexpr std::chrono::milliseconds loadStaleTime = 3s;
/// Shortest time between two rumors of one runner's load, and of one instance's demand.
inline constexpr std::chrono::milliseconds loadSpreadTime = 1s;
/// Time after which a load that hasn't changed is spread anew.
inline constexpr std::chrono::milliseconds loadRenewTime = 2s;
/// Polls in a row that must fail before a runner counts as down.
inline constexpr std::uint32_t pollFailuresToDown = 2;
/// Time for which this instance sends nothing new to a runner that refused its connection.
inline constexpr std::chrono::milliseconds avoidTime = 1s;
/// Pause before a stream that lost its engine looks for another one again.
inline constexpr std::chrono::milliseconds resumePause = 100ms;
/// Bytes of one line of an engine's stream.
inline constexpr std::size_t maxStreamLineBytes = 256 * 1024;
/// Time for one short call to a target: load, cancel, cache events.
inline constexpr std::chrono::milliseconds targetCallTime = 1s;
/// Time for moving one stream's KV to or from an engine.
inline constexpr std::chrono::milliseconds kvMoveTime = 10s;
/// Bytes of a target's error reply that are read.
inline constexpr std::size_t maxTargetErrorBytes = 16 * 1024;

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
/// Longest pause between two tries to reach the store for news of the configuration: with the time
/// of a watch and of gossip it stays below the 11 s in which a configuration must be in force.
inline constexpr std::chrono::milliseconds syncBackoffMax = 2s;
/// Time for which one watch of the configuration waits; each confirms the view anew.
inline constexpr std::chrono::milliseconds confirmTime = 3s;
/// Time in which an operator's change must be accepted or refused.
inline constexpr std::chrono::milliseconds applyTime = 8s;
/// Age of the last confirmation after which a view is no longer fresh.
inline constexpr std::chrono::milliseconds freshTime = 10s;
/// Time for which one look at a majority of the instances keeps a view fresh.
inline constexpr std::chrono::milliseconds reachTime = 1s;
/// What a confirmation heard from a peer may look younger than it is, and clocks differ in speed.
inline constexpr std::chrono::milliseconds freshMargin = 2s;
/// Time for which an instance that gossip lost is remembered.
inline constexpr std::chrono::milliseconds departedTime = 2min;
/// Instances per availability zone that watch the store; the others learn from them by gossip.
inline constexpr std::size_t watchersPerZone = 3;
/// Time between two polls of the instance list.
inline constexpr std::chrono::milliseconds instanceListPollTime = 5s;

// --- Between instances -------------------------------------------------------------------------

/// Bytes of one datagram, below the usual MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Time between two gossip rounds of one instance.
inline constexpr std::chrono::milliseconds gossipTime = 200ms;
/// Peers told per gossip round.
inline constexpr std::size_t gossipFanout = 3;
/// Bytes a second that one instance sends as gossip. It receives as many, and letter 1 allows 17 KB
/// for all control.
inline constexpr std::size_t gossipBytesPerSecond = 8 * 1024;
/// Silence after which a member is suspected, and a suspect is taken for dead.
inline constexpr std::chrono::milliseconds suspectTime = 1500ms;
inline constexpr std::chrono::milliseconds deadTime = 4s;
/// Time between two messages of one instance on what it has sent to runners; and how many it sends
/// a second to those in its zone and to all others, above which the time grows.
inline constexpr std::chrono::milliseconds loadNewsTime = 40ms;
/// In a fleet of 67, prompts waited for each other at engines that seemed idle: with 150 and 100 a
/// second, the users' calm day is worth 0.576, with 400 and 300 it is 0.660, for 0.002 of bytes.
inline constexpr std::size_t loadNewsPerSecond = 400;
inline constexpr std::size_t farLoadNewsPerSecond = 300;
/// Instances from which on the datagrams of the whole fleet stay the same: the work is shared by
/// more, and each has less to tell. Without this bound, 295 instances send and take 206,000 a
/// second, 3.4 times what 87 do, and a day of theirs took more processor time than it was given.
inline constexpr std::size_t loadNewsFleet = 96;
/// Bounds of one such message, so that it fits into a datagram.
inline constexpr std::size_t maxLoadItems = 64;
inline constexpr std::size_t maxCachedNews = 48;
/// Others that are told of the platform's store from which on two instances follow it for them: one
/// of the two may die, freeze or be turned away, and nobody has to ask the store for that. Where
/// they are fewer, the second costs more than what it saves: 235 and 369 calls to the store in
/// place of 175 and 283, on a calm and a troubled day of a user with 18 instances (534 and 1,233
/// where each follows it by itself).
inline constexpr std::size_t othersForTwoTellers = 32;
/// Time between two datagrams of one that has nothing new; and silence after which it is taken for
/// gone: two of them may be lost.
inline constexpr std::chrono::milliseconds storeNewsTime = 250ms;
inline constexpr std::chrono::milliseconds tellerSilence = 700ms;
/// Time within which an instance stands in for one that has gone silent: ten datagrams' flight, so
/// that of 50 that notice at once only a few begin.
inline constexpr std::chrono::milliseconds standInTimeMost = 500ms;
/// Time for which a silent one is remembered, and by which the clocks and datagrams of two
/// instances may make a confirmation seem later than it was.
inline constexpr std::chrono::milliseconds tellerMemory = 2s;
/// Longest wait for a datagram; only bounds how often the thread looks whether it shall end.
inline constexpr std::chrono::milliseconds storeNewsIdleTime = 5s;
/// Time for which a change is told again: four datagrams. Later, whoever still lacks it asks the
/// store.
inline constexpr std::chrono::milliseconds toldChangeTime = 1s;
/// Bounds of one datagram: kinds, changes of a kind, bytes of one change, and of all changes.
inline constexpr std::size_t maxToldKinds = 4;
inline constexpr std::size_t maxToldChanges = 32;
inline constexpr std::size_t maxChangeBytes = 1150;
inline constexpr std::size_t maxToldBytes = 1200;
/// Bytes of one rumor's payload.
inline constexpr std::size_t maxRumorBytes = 512;
/// Bytes of one call between instances.
inline constexpr std::size_t maxPeerCallBytes = 2 * 1024 * 1024;
/// Time for one call between instances.
inline constexpr std::chrono::milliseconds peerCallTime = 2s;
/// Members that one instance can know.
inline constexpr std::size_t maxMembers = 1024;
/// Time between two heartbeats of one instance; longer where so many members would not fit the
/// byte budget.
inline constexpr std::chrono::milliseconds heartbeatTime = 1s;
/// Members that are asked to probe one that did not answer.
inline constexpr std::size_t indirectProbes = 3;
/// Time for which a dead member is remembered, so that late news can't bring it back.
inline constexpr std::chrono::milliseconds deadKeepTime = 10min;
/// Time between two pages of full state that repair what deltas lost.
inline constexpr std::chrono::milliseconds gossipPageTime = 2s;
/// Share of the gossip budget that heartbeats may take.
inline constexpr double heartbeatBudgetShare = 0.67;
/// Share of a datagram's news that rumors have for sure; heartbeats leave them more where they can.
inline constexpr double rumorShare = 0.25;
/// Bytes of IP and UDP headers, which count against the budget as well.
inline constexpr std::size_t datagramOverheadBytes = 28;
/// Datagrams of one sender that may arrive out of order.
inline constexpr std::size_t replayWindowSize = 1024;
/// Rumors that one instance knows, and the time after which one that is not renewed is forgotten.
inline constexpr std::size_t maxRumors = 4096;
inline constexpr std::chrono::milliseconds rumorKeepTime = 30s;
/// Connections of peers that one instance serves; one thread each.
inline constexpr std::size_t maxPeerConnections = 256;
/// Idle connections kept per peer, and the time after which one is closed.
inline constexpr std::size_t maxIdlePeerConnections = 4;
inline constexpr std::chrono::milliseconds peerIdleTime = 60s;
/// Bounds of what one message between instances may hold.
inline constexpr std::size_t maxWireObjects = 8192;
inline constexpr std::size_t maxWireHeaders = 256;
inline constexpr std::size_t maxWireEvents = 65536;
inline constexpr std::size_t maxWireEventFields = 64;
inline constexpr std::size_t maxWireKeyBytes = 1024;

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
/// Bytes of all kept answers of one instance, with what is known of their attempts.
inline constexpr std::size_t maxAnswerBookBytes = 8 * 1024 * 1024;
/// Claims that one conditional write may add.
inline constexpr std::size_t maxClaimBatch = 512;
/// Longest time that one try to have a claim written may take.
inline constexpr std::chrono::milliseconds claimTryTime = 2s;
/// Pause of the store's client that a claim waits out; a longer one means that the store is down.
inline constexpr std::chrono::milliseconds claimStorePatience = 250ms;
/// When to come back to a claim bucket that is full, or whose claim was left undecided.
inline constexpr std::chrono::milliseconds claimRetryTime = 1s;

// --- Orders and plans --------------------------------------------------------------------------

/// Window, from before the write of an order, in which its writer may send it.
inline constexpr std::chrono::milliseconds orderWindow = 2s;
/// What a successor waits beyond the window: clock margin and delivery bound.
inline constexpr std::chrono::milliseconds orderMargin = 1s;
/// Time that TCP may go on trying to deliver an order that was sent; well within orderMargin.
inline constexpr std::chrono::milliseconds orderDeliveryTime = 500ms;
/// Time for which an engine must say that it is idle: its reports lag behind what it runs.
inline constexpr std::chrono::milliseconds orderIdleTime = 1s;
/// Time after which an order that shows no effect is sent again, the same under the same number.
inline constexpr std::chrono::milliseconds orderResendTime = 5s;
/// Time for which an engine is left alone after an order to it was withdrawn or could not begin.
inline constexpr std::chrono::milliseconds orderHoldTime = 10s;
/// Time between two looks of a planner at its pool.
inline constexpr std::chrono::milliseconds planTime = 500ms;
/// Time that a drain waits for running streams before they are moved.
inline constexpr std::chrono::milliseconds drainTime = 60s;

// --- Decisions ---------------------------------------------------------------------------------

/// Output tokens of a stream that nothing is known of, to guess when a slot comes free.
inline constexpr double typicalOutputTokens = 256;
/// Time between two tokens of one stream, however little an engine has to do.
inline constexpr double minTokenSeconds = 0.008;
/// Candidates that can do a request among which one decision chooses.
inline constexpr std::size_t maxScoredRunners = 32;
/// Requests that each other instance is taken to have open, beyond as many as this one has
/// (docs/design/routing.md).
inline constexpr double unseenPeerRequests = 0.5;
/// Time that a plain service takes for a call of which nothing is known.
inline constexpr double typicalServiceSeconds = 0.05;
/// Share of its concurrency and KV memory that an engine is taken to use while its report is stale.
inline constexpr double unknownLoadShare = 0.5;
/// Share of its prefill speed with which an engine is taken to work off a reported backlog.
inline constexpr double backlogDrainShare = 0.5;
/// Speed of an engine at the work that its role is made for, and at the other, as a share of its
/// speed in mixed role.
inline constexpr double ownRoleSpeed = 1.5;
inline constexpr double otherRoleSpeed = 0.25;
/// Candidates that one decision scores, those included that can't do it in time.
inline constexpr std::size_t maxTriedRunners = 96;
/// What a runner in another zone must be better by: a time and a share of the whole duration.
inline constexpr double crossZoneSeconds = 0.015;
inline constexpr double crossZoneShare = 0.10;
/// Longest wait that prefix affinity is worth, as a share of the prompt's own prefill time.
inline constexpr double affinityWaitShare = 0.5;
/// Requests that a preferred engine may have beside the mean of all, as a factor and a slack.
inline constexpr double affinityLoadFactor = 1.25;
inline constexpr double affinityLoadSlack = 2;
/// Bytes of a prompt's head that affinity looks at; a shorter prompt has none.
inline constexpr std::size_t prefixBytes = 512;
/// Bytes of text per token, on the careful side.
inline constexpr std::size_t bytesPerToken = 4;
/// Bounds of the time after which a refused caller is told to come back.
inline constexpr std::chrono::milliseconds minRetryAfter = 100ms;
inline constexpr std::chrono::milliseconds maxRetryAfter = 30s;
/// The same where all runners are away: a drain or a role change takes seconds.
inline constexpr std::chrono::milliseconds awayRetryAfter = 2s;
/// Time constant with which a pool's demand is averaged.
inline constexpr double demandSeconds = 10;
/// Longest time between two looks that counts: a planner that was paused has not seen more.
inline constexpr double maxLookSeconds = 2;
/// Share of an engine's time that can be used before requests are late.
inline constexpr double usableEngineShare = 0.85;
/// Time for which a role change takes an engine away, beside its drain.
inline constexpr double roleChangeSeconds = 5;
/// How many times its price a role change must have been worth where only few changes count.
inline constexpr double mostPriceFactor = 10;
/// Engine seconds a second, per engine, below which another split is not better.
inline constexpr double minPlanGain = 0.01;
/// Time constant with which gathered regret fades while the present split is the best one.
inline constexpr double regretFadeSeconds = 5;
/// Streams that an instance may have beside the mean of all before callers are sent elsewhere.
inline constexpr double addressLoadFactor = 1.25;
inline constexpr double addressLoadSlack = 4;
/// Addresses in one answer, and how many of them are of other zones where there are any.
inline constexpr std::size_t maxRankedAddresses = 16;
inline constexpr std::size_t minElsewhereAddresses = 4;

// --- Containment -------------------------------------------------------------------------------

/// Pause of a long-lived thread after a step that failed.
inline constexpr std::chrono::milliseconds failedStepPause = 200ms;

// --- Seeing ------------------------------------------------------------------------------------

/// Events that one instance's ring keeps.
inline constexpr std::size_t eventRingSize = 4096;
/// Log lines that one process writes in a second; those beyond are counted and left out.
inline constexpr std::uint64_t maxLogLinesPerSecond = 500;
/// How far ahead of ours a peer's wall clock may be for its times to move our hybrid clock.
inline constexpr std::chrono::milliseconds maxClockLead = 10min;

// --- Inventory, rules and operators ------------------------------------------------------------

/// Bounds of an inventory.
inline constexpr std::size_t maxZones = 64;
inline constexpr std::size_t maxPools = 64;
inline constexpr std::size_t maxRunners = 4096;
inline constexpr std::size_t maxModels = 64;
inline constexpr std::size_t maxAdapters = 1024;
/// Bounds of the rules.
inline constexpr std::size_t maxClasses = 16;
inline constexpr std::size_t maxCallers = 4096;
inline constexpr std::size_t maxWorkspaces = 16384;
inline constexpr std::size_t maxRequestRules = 1024;
/// Bytes of the secret that instances share.
inline constexpr std::size_t minPeerKeyBytes = 16;
inline constexpr std::size_t maxPeerKeyBytes = 256;
/// Bytes of one request to the operators' address: two files of maxObjectBytes, escaped.
inline constexpr std::size_t maxOperatorBodyBytes = 5 * 1024 * 1024;
/// Connections to the operators' address.
inline constexpr std::uint32_t maxOperatorConnections = 32;
/// Time limit of one call of an operator's command.
inline constexpr std::chrono::milliseconds operatorCallTime = 10s;
/// Accepted changes that the configuration's head remembers, to answer a late retry truly.
inline constexpr std::size_t headHistory = 16;

} // namespace poplarspool::config
