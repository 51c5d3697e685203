#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits and weights of the gateway.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Prompt tokens that a prefill engine processes per millisecond, from the engines' data sheets.
inline constexpr double prefillTokensPerMs = 112;
/// Prefill speed of a decode engine as a share of that, from the data sheets.
inline constexpr double decodeStagePrefillShare = 0.5;
/// Setup time of a KV transfer between engines, before its first byte, from the data sheets.
inline constexpr double kvTransferSetupMs = 8;
/// Prompt tokens that a prefill engine processes in one step, the share of them that a decode
/// engine processes, and the fixed time of a step, from the data sheets.
inline constexpr double prefillChunkTokens = 1024;
inline constexpr double decodeStageChunkShare = 0.25;
inline constexpr double engineStepMs = 3.41;
/// Attention cost per million token pairs, from the data sheets.
inline constexpr double attentionMsPerMillionPairs = 0.218;
/// Fixed cost of each prompt, however short: the part of the engines' time that the rest of this
/// estimate does not explain.
inline constexpr double promptSetupMs = 10;
/// Time from the end of prefill to the first token; 31 ms on idle engines.
inline constexpr double firstTokenMs = 31;
/// Relative step by which a prompt that is faster than expected changes the estimated pace of its
/// engines, and the number of such prompts that outweigh one slower prompt. A prior that is too
/// fast by a factor of 5 is corrected after 41 prompts, one that is too slow by the same factor
/// after 162.
inline constexpr double paceStep = 0.01;
inline constexpr double slowPromptWeight = 4;
/// Expected prefill time from which a prompt updates the pace; a shorter one updates the time to
/// the first token.
inline constexpr double minPaceSampleMs = 40;
/// Bounds of both, against invalid updates.
inline constexpr double maxPaceScale = 20;
inline constexpr double minFirstTokenMs = 1;
inline constexpr double maxFirstTokenMs = 500;
/// Slowdown of an engine's step per running request. The data sheets give 0.097 ms per request and
/// step; a request takes several tens of steps between its first and last event.
inline constexpr double decodeCostMsPerRequest = 1.5;
/// Costs of leaving the zone, of copying KV cache and of a prefill handoff, in milliseconds of the
/// caller's time. Each of them has a price, which is small compared with that of a late answer.
inline constexpr double engineCrossZoneMs = 3;
inline constexpr double kvCopyCostMs = 20;
inline constexpr double prefillHandoffCostMs = 15;
/// Cost of beginning a stream at the only runner of its software version, in milliseconds of the
/// caller's time.
inline constexpr double loneVersionCostMs = 100;
/// Cost of prefilling uncached shared parts on an engine other than the one that all instances
/// choose for them.
inline constexpr double coldCachePenaltyMs = 100;
/// Prompts shorter than this are prefilled where they run: the handoff would take as long.
inline constexpr std::uint32_t prefillHandoffMinTokens = 400;
/// Cost of crossing zones for plain services, as a share of one request's time.
inline constexpr double serviceCrossZoneCost = 0.2;
/// Runners of a service and stage whose load a request looks at, of however many there are. More
/// than half of them may be ejected, and enough are left to choose among.
inline constexpr std::size_t sampledRunners = 32;
/// Engines that are considered in the place of the preferred one while that is ejected or full.
inline constexpr std::size_t preferredRunners = 4;
/// Engines that one request asks to prefill its prompt, as long as they refuse.
inline constexpr std::uint32_t maxHandoffs = 3;
/// Probes of the ring by which the preferred engine is found. The more there are, the more evenly
/// the keys are spread over the engines.
inline constexpr std::size_t affinityProbes = 21;
/// Prompt parts whose holders are remembered, twice: those added last, and those before them. And
/// the holders of a prompt's parts that are considered as sources of a copy.
inline constexpr std::size_t maxHeldParts = 8192;
inline constexpr std::size_t maxCopySources = 16;
/// Interval at which the load of silent instances is removed.
inline constexpr std::chrono::milliseconds silenceCheckInterval = 100ms;
/// Engines of a stage that are sampled for one request, besides the preferred engine of its shared
/// parts.
inline constexpr std::ptrdiff_t sampledEngines = 4;
/// Bounds of the rate limit that a runner names, in requests per second, and the maximum length of
/// its text. A runner that takes nothing at all could never say that its limit has ended: it gets
/// one request in ten seconds.
inline constexpr double minRateLimit = 0.1;
inline constexpr double maxRateLimit = 1e6;
inline constexpr std::size_t maxRateLimitDigits = 32;
/// Number of refusals in a row, each of a request that was sent after the one before, from which a
/// rate limit is inferred for the runner, and time after which a refusal is forgotten.
inline constexpr std::uint32_t minRefusalsInRow = 3;
inline constexpr std::chrono::milliseconds refusalRetention = 10s;
/// Bounds of an inferred limit in requests per second, and its change with each refused and each
/// accepted request. A runner is kept at a rate at which it refuses four requests in ten; one that
/// has recovered is free of its limit after 16 requests, in less than three seconds.
inline constexpr double minInferredLimit = 2;
inline constexpr double minFirstInferredLimit = 8;
inline constexpr double maxInferredLimit = 64;
inline constexpr double inferredLimitDecrease = 0.75;
inline constexpr double inferredLimitIncrease = 1.25;
/// Share of an engine's capacity that its rate limit must leave for it to count in the plan of
/// stages, and the number of prompts that a prefill engine processes per second.
inline constexpr double minPlannedShare = 0.5;
inline constexpr double promptsPerSecond = 10;
/// Assumed time of a request on an engine that has not run any.
inline constexpr double unknownRunMs = 1000;
/// Permits of a rate limit that may accumulate, as a share of a second's; at least one.
inline constexpr double limitBurstSeconds = 0.25;
/// Maximum number of permits that are withheld for the requests that a runner got before its limit
/// was known, as a number of seconds.
inline constexpr double maxLimitDebtSeconds = 3;
/// Part of a rate limit that the second instance issues while the first one may still be issuing
/// the whole. Both together stay within the limit's tolerance.
inline constexpr double secondIssuerShare = 0.25;
/// Time for which a permit may be used. With the permits of that time, a runner gets those of five
/// seconds within four.
inline constexpr std::chrono::milliseconds permitLifetime = 1s;
/// Bounds of the time after which an instance that was denied a permit asks again.
inline constexpr std::chrono::milliseconds minPermitRetryTime = 40ms;
inline constexpr std::chrono::milliseconds maxPermitRetryTime = 4s;
/// Permits that are asked for at once: what the asker sends in this time.
inline constexpr double permitBatchSeconds = 0.1;
/// Time-out for the reply of an issuer, about ten round trips, and time for which an issuer that
/// did not reply is not asked.
inline constexpr std::chrono::milliseconds permitReplyTimeout = 25ms;
inline constexpr std::chrono::milliseconds silentIssuerTime = 500ms;
/// Time for which a request that has begun waits for a permit.
inline constexpr std::chrono::milliseconds maxPermitWait = 500ms;
/// Time for which a runner's bucket is kept at least.
inline constexpr std::chrono::milliseconds minBucketRetention = 10s;
/// Limits of the notices about rate limits: in one datagram, and waiting to be sent; how often each
/// is sent, against lost datagrams, and the time between; and the interval at which the sender
/// looks for notices while no replies arrive.
inline constexpr std::size_t maxLimitNotices = 32;
inline constexpr std::size_t maxPendingNotices = 1024;
inline constexpr int limitNoticeSends = 3;
inline constexpr std::chrono::milliseconds limitNoticeInterval = 60ms;
inline constexpr std::chrono::milliseconds idleLimitInterval = 1s;
/// Random cost that breaks ties; too small to outweigh any other cost.
inline constexpr double tieBreakCost = 0.05;
/// Share of a service's runners that stay eligible however many have failed recently: a common
/// cause, such as packet loss on this instance's link, must not send all requests to the remaining
/// few.
inline constexpr double minEligibleShare = 0.5;
/// Ejection time of a runner after its first failure in a row, and the maximum. A crashed runner
/// is back after some seconds under a new id, so a longer ejection would gain nothing.
inline constexpr std::chrono::milliseconds initialEjectionTime = 1500ms;
inline constexpr std::chrono::milliseconds maxEjectionTime = 4s;
/// Time for which a runner's entry is ignored after the runner has denied it, unless the entry
/// changes. The next entry is written within 2 s and arrives within another 2 s.
inline constexpr std::chrono::milliseconds misdirectedTime = 4s;
/// Time for which a runner that refused a request as full is skipped: the duration of a few
/// requests.
inline constexpr std::chrono::milliseconds refusalBackoff = 60ms;
/// Number of recent sends by which a runner is judged, and the share and the minimum count of them
/// that must have failed to eject it. The share lies above the failure rate of a sound service,
/// which may be 0.14.
inline constexpr std::size_t outcomeWindowSize = 10;
inline constexpr double ejectionFailureShare = 0.4;
inline constexpr std::size_t minFailuresToEject = 3;
/// Time after which a runner's slowness is discarded, so that the runner is tried again.
inline constexpr std::chrono::milliseconds slownessExpiry = 3s;
/// Ratio to its siblings' time from which a runner counts as slow, and the maximum ratio.
inline constexpr double slowRatio = 1.8;
inline constexpr double maxSlowness = 20;
/// Times below this are not compared: they consist of overhead.
inline constexpr double minMedianStartMs = 10;
/// Priorities at engines, from 0 (first) to 9: requests whose prompt was prefilled elsewhere and
/// that only have to run, urgent requests (plus their rank), and late requests (plus their rank).
inline constexpr std::uint32_t prefilledPriority = 0;
inline constexpr std::uint32_t urgentPriority = 1;
inline constexpr std::uint32_t latePriority = 6;
inline constexpr std::uint32_t maxRank = 3;
/// A request is urgent if it is expected to start within this share of the time to its objective.
inline constexpr double urgentShare = 0.9;
/// Late requests are sent to an engine only if less than this share of its batch waits there and if
/// they are expected to start within this share of their remaining time. Half of either leaves room
/// for urgent requests and for estimates that are wrong by a factor of two.
inline constexpr double lateRoomShare = 0.5;
inline constexpr double lateTimeShare = 0.5;
/// Time for which another instance's load update is valid. For instances that send less often: the
/// number of their intervals for which it stays valid. In a large fleet, instances of other zones
/// send every 2.5 s; if their updates expired in between, their load would seem to come and go.
inline constexpr std::chrono::milliseconds loadUpdateExpiry = 2s;
inline constexpr int maxSilentIntervals = 2;
/// Number of times that each update is sent, against lost datagrams.
inline constexpr std::uint32_t updateRepeats = 2;
/// Maximum updates about cached parts that wait to be sent: some seconds' worth at 100 requests per
/// second.
inline constexpr std::size_t maxPendingUpdates = 1000;
/// Maximum samples of engines' speed that wait to be sent: those of a few load updates.
inline constexpr std::size_t maxPendingSamples = 64;
/// Prompt parts remembered per runner; beyond that, the older half is dropped.
inline constexpr std::size_t maxCachedParts = 20000;
/// Share of an engine's KV memory that caches parts; the rest holds running requests.
inline constexpr double cacheShare = 0.9;
/// Share of the fleet's retry budget that is used: instances learn late how many members share it.
inline constexpr double retryBudgetUsableShare = 0.75;
/// Maximum sends of one request that arrived at a runner, refused ones included, and maximum
/// tries, including those that reached no runner.
inline constexpr std::uint32_t maxArrivals = 4;
inline constexpr std::uint32_t maxRequestTries = 10;
/// Time-out for connecting to a runner: 40 round trips, but less than the delay of TCP's first
/// retransmission, from which on another runner is the better choice.
inline constexpr std::chrono::milliseconds runnerConnectTimeout = 150ms;
/// Silence after which a connection to a runner counts as lost. A sound runner may be silent for a
/// second or so and go on.
inline constexpr std::chrono::seconds runnerSilenceTimeout = 2s;
/// Number of runners in a row that only other instances reach from which an instance counts as cut
/// off from all runners. One may be a coincidence: a runner that restarts at that moment.
inline constexpr std::size_t minBrokenLinks = 2;
/// Broken links that are remembered.
inline constexpr std::size_t maxBrokenLinks = 1024;
/// Time for which a request whose runner can't be reached waits for another instance to reach it.
/// A runner that is gone silently costs the request this time in addition.
inline constexpr std::chrono::milliseconds linkCheckTimeout = 50ms;
/// Time-out for opening a tunnel over a broken link: runnerConnectTimeout at the carrier, and the
/// round trip to it.
inline constexpr std::chrono::milliseconds tunnelOpenTimeout = 200ms;
/// Carriers that are asked for one tunnel, and time for which one that could not help is not asked.
inline constexpr std::size_t maxCarriersAsked = 2;
inline constexpr std::chrono::milliseconds unusableCarrierTime = 1s;
/// Interval at which broken links are probed, and the number of links in one round.
inline constexpr std::chrono::milliseconds linkProbeInterval = 250ms;
inline constexpr std::size_t maxLinkProbes = 8;
/// Interval at which a call without news from its runner checks whether the link is broken.
inline constexpr std::chrono::milliseconds silentCallInterval = 300ms;
/// Silence after which such a call goes on elsewhere. Shorter cuts cost less if it waits: the
/// runner goes on working, and the prompt is not prefilled again. Callers give a stream up after 2
/// s.
inline constexpr std::chrono::milliseconds silentCallTimeout = 1500ms;
/// Tunnels that one instance carries for others; each takes one thread and two descriptors.
inline constexpr std::uint32_t maxCarriedTunnels = 256;
/// Bytes of a tunnel that are buffered in one direction.
inline constexpr std::size_t tunnelBufferBytes = 16 * 1024;
/// Time for which a tunnel stays open after one side has closed it.
inline constexpr std::chrono::milliseconds tunnelCloseTime = 2s;
/// Interval at which an instance that is cut off from the runners announces that again, and time
/// after which others forget it.
inline constexpr std::chrono::milliseconds cutOffAnnounceInterval = 10s;
inline constexpr std::chrono::milliseconds cutOffExpiry = 25s;
/// Share of the instances that must reach the runners for the others to be left out of a caller's
/// addresses: fewer could not take the callers of all.
inline constexpr double minConnectedShare = 0.5;
/// Idle connections kept per runner and instance, and the maximum time for which one is kept.
inline constexpr std::size_t maxIdleRunnerConnections = 8;
inline constexpr std::chrono::milliseconds runnerIdleTime = 2500ms;
/// Maximum size of a plain answer that is buffered whole before its first byte is passed on, so
/// that the request can be retried if the runner breaks off.
inline constexpr std::size_t maxBufferedReplyBytes = 512 * 1024;
/// Maximum size of an engine's reply that names the KV cache of a prompt.
inline constexpr std::size_t maxHandleReplyBytes = 16 * 1024;
/// Bytes of an answer that are buffered without being counted in the memory budget: each call holds
/// as many for what it receives.
inline constexpr std::size_t uncountedAnswerBytes = 16 * 1024;
/// Maximum size of one event of a stream.
inline constexpr std::size_t maxEventBytes = 256 * 1024;
/// Replies to other requests that are skipped on one connection before it is closed.
inline constexpr std::uint32_t maxForeignReplies = 2;
/// Time beyond a request's limit for which the runner's own final reply is awaited.
inline constexpr std::chrono::milliseconds finalReplyGraceTime = 60ms;
/// Time-out for freeing KV cache that no engine takes over.
inline constexpr std::chrono::milliseconds freeHandleTimeout = 100ms;
/// No send is started with less time left than this.
inline constexpr std::chrono::milliseconds minSendTime = 10ms;
/// Default Retry-After of a refusal.
inline constexpr std::chrono::milliseconds refusedRetryAfter = 300ms;
/// Maximum Retry-After: bursts last for some seconds, and callers do not wait much longer.
inline constexpr std::chrono::milliseconds maxRefusedRetryAfter = 2s;
/// Retry-After of an instance that has no configuration yet: it requests it at this interval.
inline constexpr std::chrono::milliseconds startingRetryAfter = 300ms;
/// Retry-After of a stream whose software version is not known here: another instance may know it.
inline constexpr std::chrono::milliseconds unknownVersionRetryAfter = 100ms;
/// The same if no runner of its version serves: a crashed one is back after some seconds.
inline constexpr std::chrono::milliseconds goneVersionRetryAfter = 1s;
/// Share of the time in which a change must be in force. A confirmation that is younger proves that
/// there is no such change: an unknown route is reported as not found. The rest of the time is for
/// the way of the request, and for delays of the confirmation that its age does not include.
inline constexpr double confirmedShare = 0.95;
/// Minimum share of the engines that run requests (decode), for engines with large and with small
/// batches; their minimum number; and the batch size from which a batch is large. Engines with
/// small batches run out of slots before they run out of time for prompts.
inline constexpr double decodeShareLargeBatch = 0.2;
inline constexpr double decodeShareSmallBatch = 0.4;
inline constexpr std::uint32_t minDecoders = 2;
inline constexpr std::uint32_t largeBatch = 64;
/// Running requests per engine, as a share of its batch, from which more decode engines are
/// needed; beyond it, requests queue. A lower threshold leaves too few engines for prefill.
inline constexpr double decodeFillShare = 0.95;
/// A decode engine is returned to prefill if the others are filled up to this share of the
/// threshold.
inline constexpr double decodeReturnShare = 0.7;
/// Share of the engines that always prefill.
inline constexpr double minPrefillShare = 0.3;
/// Number of prefill engines that one instance can keep busy. An instance passes on some twenty
/// requests per second, and the mean prompt takes less than a tenth of a second.
inline constexpr std::size_t prefillEnginesPerInstance = 2;
/// A fleet counts as settled while less than one in this many runners joins or leaves.
inline constexpr std::size_t settledFleetDivisor = 100;
/// Services with fewer engines than this keep their stages: each change takes one engine away.
inline constexpr std::size_t minStagedEngines = 4;
/// Time over which the running requests are averaged: longer than the first second of a burst,
/// shorter than a change of stage.
inline constexpr double runningMeanSeconds = 2;
/// Interval of the stage planner, and the time for which the number of runners must have been
/// stable before it acts: the runners of a fleet register within some seconds of its start.
inline constexpr std::chrono::milliseconds stageInterval = 500ms;
inline constexpr std::chrono::milliseconds stageSettleTime = 1000ms;
/// Time for which another split must have been needed before it is ordered, unless fewer than
/// idleRunningThreshold requests are running: a crashed engine is back after 2 to 4 s.
inline constexpr std::chrono::milliseconds stageChangeDelay = 5s;
/// The same for returning engines to prefill: a burst of up to 15 s may repeat.
inline constexpr std::chrono::milliseconds stageReturnDelay = 15s;
/// One engine in this many may change at a time while requests run; each is away for 3 s. Without
/// this bound, 19 of 140 changed at once, and 434 of the 3,900 requests of the next seconds were
/// refused.
inline constexpr std::size_t enginesPerChange = 32;
/// Mean number of running requests below which stage changes are ordered at once, in any number.
inline constexpr double idleRunningThreshold = 1;
/// Time after which an order that has shown no effect counts as lost: engines take 3 s plus the
/// time of the requests that they run.
inline constexpr std::chrono::milliseconds stageOrderTimeout = 8s;
/// Time-out of one report or order call; engines answer these at once.
inline constexpr std::chrono::milliseconds stageCallTimeout = 400ms;
/// Maximum parts of a prompt whose ids a log line names, and maximum bytes of each id there.
inline constexpr std::size_t maxLoggedParts = 8;
inline constexpr std::size_t maxLoggedPartBytes = 32;
/// Time-out for checking that no process listens at an address: about ten round trips.
inline constexpr std::chrono::milliseconds endedCheckTimeout = 60ms;
/// Time in which the processes of a runner that is killed end one after the other. A runner that is
/// one process needs none.
inline constexpr std::chrono::milliseconds processExitTime = 50ms;
/// Time-out of one call that asks a run whether it is still there. Runners answer such calls at
/// once; a stream may pause for longer.
inline constexpr std::chrono::milliseconds witnessCallTimeout = 200ms;
/// Time between two questions whether a runner still works on a request whose answer is lost.
inline constexpr std::chrono::milliseconds runEndInterval = 100ms;
/// Time left below which a request waits for no witness.
inline constexpr std::chrono::milliseconds minTimeToOpenWitness = 1s;
/// Time after which an idle witness is asked again, or another one is tried: runners close idle
/// connections, some of them after two seconds.
inline constexpr std::chrono::milliseconds witnessRefreshTime = 1s;
/// Connections on which a run is asked in vain, while its answer arrives and once more at its end.
inline constexpr std::size_t maxWitnessesAsked = 2;
/// Time left below which a runner may have given an answer up because its caller's time was over.
inline constexpr std::chrono::milliseconds abandonedAnswerMargin = 20ms;
/// Time for which a service is remembered that has sent an answer with neither a length nor chunks.
inline constexpr std::chrono::milliseconds unframedServiceRetention = 1h;
/// Services that are remembered for that.
inline constexpr std::size_t maxUnframedServices = 1024;
/// Longer times in the operators' configuration are reduced to this: longer than any request.
inline constexpr std::chrono::milliseconds maxConfiguredTime = 24h;
/// After a store rollback: the time over which the instances spread the writes of their own
/// objects, and the grace period of instances that the snapshot lacks. Stale lists are some
/// seconds old.
inline constexpr std::chrono::milliseconds registrationSpreadTime = 1000ms;
inline constexpr std::chrono::milliseconds missingInstanceGracePeriod = 10s;
/// Maximum age of a stale list of instances.
inline constexpr std::chrono::milliseconds maxListAge = 5s;
/// Time in which a runner that has started writes its entry to a store that answers: two
/// heartbeats, and one write that is lost.
inline constexpr std::chrono::milliseconds entryWriteTime = 4s;
/// Time without an answer from the store after which entries may have expired during an outage, and
/// the grace period in which the entries of running runners return: about two seconds according to
/// the platform's documentation.
inline constexpr std::chrono::milliseconds storeOutageThreshold = 500ms;
inline constexpr std::chrono::milliseconds entryReturnGracePeriod = 2000ms;
/// Time between choosing a runner whose entry is missing but within its grace period, and the
/// arrival of the request: 150 ms to connect, and the same for a busy processor.
inline constexpr std::chrono::milliseconds gracePeriodMargin = 300ms;
/// Maximum age of a snapshot from which the store is expected to be restored; departures are
/// remembered for as long. Snapshots are some seconds old.
inline constexpr std::chrono::milliseconds maxSnapshotAge = 60s;
/// Time after which an entry that looks outdated is trusted if it still exists: entries of ended
/// runners expire after three of their heartbeats of 1.2 s each.
inline constexpr std::chrono::milliseconds outdatedEntryConfirmTime = 10s;
/// Time after the removal of an entry in which a write of it may still be executed: writes without
/// an answer are executed seconds later.
inline constexpr std::chrono::milliseconds maxLateWriteTime = 10s;
/// Outdated entries that an instance lists for starting instances: some kilobytes in the store.
inline constexpr std::size_t maxOutdatedMarkers = 64;
/// Time after the store's recovery in which entries that expired during the outage are found
/// missing.
inline constexpr std::chrono::milliseconds entryExpiryTime = 500ms;
/// Gossip between gateways: interval, and time until a member is suspect. Callers cache an address
/// for 2 s and lose 1 s on an instance that does not answer.
inline constexpr std::chrono::milliseconds gatewayGossipInterval = 250ms;
inline constexpr std::chrono::milliseconds gatewaySuspectTime = 1000ms;
/// Time beyond the idle limit for which callers' connections are kept open.
inline constexpr std::chrono::milliseconds idleMargin = 2s;
/// Maximum number of addresses in a reply to a caller; callers ignore further ones.
inline constexpr std::ptrdiff_t maxDirectoryAddresses = 64;
/// Number of instances in a caller's zone from which only these are returned to it: with one, its
/// loss would leave the caller without an address.
inline constexpr std::size_t minZoneAddresses = 2;
/// Time before the end of the process by which the last answer must be sent, and time for which
/// callers that have just received this instance's address are still served.
inline constexpr std::chrono::milliseconds leaveMargin = 900ms;
inline constexpr std::chrono::milliseconds lateCallerTime = 500ms;
/// Routes whose outcomes are counted by name; each adds five series to the metrics of an instance.
inline constexpr std::size_t maxCountedRoutes = 64;

} // namespace poplarspool::config
