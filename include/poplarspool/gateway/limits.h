#pragma once

#include "poplarspool/config.h"

/// Limits and weights of the gateway, and of what follows the platform's store for it.
namespace poplarspool::config {

/// Prompt tokens that an engine of the prefill stage reads in a millisecond: the users' sheets.
inline constexpr double prefillTokensPerMs = 112;
/// What a decode engine reads prompts with, as a share of that: the users' sheets.
inline constexpr double decodeStagePrefillShare = 0.5;
/// Time before the first byte of a KV transfer between engines: the users' sheets.
inline constexpr double kvTransferSetupMs = 8;
/// Prompt tokens that such an engine reads in one step, what a decode engine reads as a share of
/// that, and the time that a step takes beside its work: the users' sheets.
inline constexpr double prefillChunkTokens = 1024;
inline constexpr double decodeStageChunkShare = 0.25;
inline constexpr double engineStepMs = 3.41;
/// For each million pairs of tokens that attend to each other: the users' sheets.
inline constexpr double attentionMsPerMillionPairs = 0.218;
/// For each prompt, however short: what engines took beyond the rest of this estimate.
inline constexpr double promptSetupMs = 10;
/// From the end of reading to the first token: measured at 31 ms on idle engines.
inline constexpr double firstTokenMs = 31;
/// Share by which one prompt that is faster than expected moves what is known of its engines' pace,
/// and how many such prompts weigh as much as one that is slower. A prior that is too fast by 5
/// times is forgotten after 41 prompts, one that is too slow after 162.
inline constexpr double paceStep = 0.01;
inline constexpr double onTimeOdds = 4;
/// Expected reading time from which a prompt tells of the pace; a shorter one, of the time to the
/// first token.
inline constexpr double tellingReadMs = 40;
/// Bounds of both, against news that make no sense.
inline constexpr double mostPaceScale = 20;
inline constexpr double leastFirstMs = 1;
inline constexpr double mostFirstMs = 500;
/// By how much each running request slows an engine's step: the users' sheets give 0.097 ms a
/// request; some tens of steps lie between a request's first event and its last.
inline constexpr double decodeCostMsPerRequest = 1.5;
/// Worth of keeping a request in its zone, of not copying KV cache, and of not handing it over, in
/// milliseconds of the caller's time: each is priced, and small beside a late answer.
inline constexpr double engineCrossZoneMs = 3;
inline constexpr double kvCopyCostMs = 20;
inline constexpr double handOverCostMs = 15;
/// Worth of having shared parts that nobody holds read where all instances have them read.
inline constexpr double coldElsewhereMs = 100;
/// Prompts shorter than this are read where they run: the hand-over would take as long.
inline constexpr std::uint32_t handOverLeastTokens = 400;
/// For plain services, as a share of one request's time.
inline constexpr double serviceCrossZoneCost = 0.2;
/// Engines of a stage that one request looks at, beside the home of its shared parts.
inline constexpr std::ptrdiff_t drawnEngines = 4;
/// Spreads what is equal otherwise; too small to outweigh anything.
inline constexpr double tieBreakCost = 0.05;
/// Share of a service's runners that stay in use however many have failed lately: a common cause
/// (a lossy link of ours) must not send everything to the last few.
inline constexpr double leastOpenShare = 0.5;
/// Time for which a runner is set aside after its first failure in a row, and at most: a crashed
/// runner is back after some seconds under a new id, so that longer would gain nothing.
inline constexpr std::chrono::milliseconds setAsideFirst = 1500ms;
inline constexpr std::chrono::milliseconds setAsideMost = 4s;
/// Time for which a runner's entry that it has denied is not believed, if it doesn't change: its
/// next entry comes within 2 s, and reaches us within 2 s more.
inline constexpr std::chrono::milliseconds misdirectedTime = 4s;
/// Time for which a runner that refused as full is passed over: a few requests' duration.
inline constexpr std::chrono::milliseconds refusedPause = 60ms;
/// Last sends by which a runner is judged, and what part of them, and how many at least, must have
/// failed: above a service's usual failures (0.14 at one of the users).
inline constexpr std::size_t judgedSends = 10;
inline constexpr double failingShare = 0.4;
inline constexpr std::size_t leastFailures = 3;
/// Time after which a runner's slowness is forgotten, so that it is tried again.
inline constexpr std::chrono::milliseconds slownessMemory = 3s;
/// From how many times its siblings' time a runner counts as slow, and the most that is believed.
inline constexpr double slowRatio = 1.8;
inline constexpr double mostSlowness = 20;
/// Times below this are not compared: they are all overhead.
inline constexpr double leastUsualStartMs = 10;
/// Priorities at engines, 0 to 9: prompts that were read elsewhere and only have to be run, urgent
/// requests by their rank, and those that are late anyway.
inline constexpr std::uint32_t readPriority = 0;
inline constexpr std::uint32_t urgentPriority = 1;
inline constexpr std::uint32_t laterPriority = 6;
inline constexpr std::uint32_t mostRank = 3;
/// Share of the time to the objective by which a request must be expected to start to be urgent.
inline constexpr double urgentShare = 0.9;
/// Requests that can't be on time are sent to an engine only while less than this share of its
/// batch waits there, and where they are expected to begin within this share of the time that they
/// have: half of either leaves room for the urgent ones, and for estimates that are wrong by two
/// times.
inline constexpr double laterRoomShare = 0.5;
inline constexpr double laterTimeShare = 0.5;
/// Time for which another instance's news of its load counts; and, where it tells more rarely, how
/// many of the intervals at which it does, and the longest that is believed: in a large fleet, far
/// ones tell every 2.5 s, and forgotten in between, their work would seem to come and go.
inline constexpr std::chrono::milliseconds loadNewsMemory = 2s;
inline constexpr int silentIntervals = 2;
inline constexpr std::chrono::milliseconds loadNewsIntervalMost = 4s;
/// Times that each piece of news is told, against lost datagrams.
inline constexpr std::uint32_t newsRepeats = 2;
/// News of cached parts that wait to be told: some seconds' worth at 100 requests a second.
inline constexpr std::size_t maxWaitingNews = 1000;
/// Parts of prompts remembered per runner; beyond that, the older half is forgotten.
inline constexpr std::size_t maxCachedParts = 20000;
/// Share of an engine's memory that caches parts; the rest holds running requests.
inline constexpr double cacheShare = 0.9;
/// Part of the fleet's retry budget that is used: instances count their members late.
inline constexpr double retryBudgetUse = 0.75;
/// Sends of one request that arrived, refused ones among them; and tries, also those that reached
/// nobody.
inline constexpr std::uint32_t maxArrivals = 4;
inline constexpr std::uint32_t maxSends = 10;
/// Time to connect to a runner: 40 round trips, and below TCP's first retransmission, after which
/// another runner is the better choice.
inline constexpr std::chrono::milliseconds runnerConnectTime = 150ms;
/// Silence after which a runner's connection counts as lost.
inline constexpr std::chrono::seconds runnerSilence = 1s;
/// Idle connections kept per runner and instance, and for how long at most.
inline constexpr std::size_t maxIdleRunnerConnections = 8;
inline constexpr std::chrono::milliseconds runnerIdleTime = 2500ms;
/// Bytes of a plain answer that is read whole before its first byte is passed on, so that a runner
/// that breaks off can be replaced.
inline constexpr std::size_t maxHeldAnswerBytes = 512 * 1024;
/// Replies to other requests that are skipped on one connection before it is given up.
inline constexpr std::uint32_t maxForeignReplies = 2;
/// Time beyond a request's limit that its runner's own last word is waited for.
inline constexpr std::chrono::milliseconds lastWordTime = 60ms;
/// Time for freeing KV cache that nobody takes over.
inline constexpr std::chrono::milliseconds freeHandleTime = 100ms;
/// Time left below which no send is begun.
inline constexpr std::chrono::milliseconds leastSendTime = 10ms;
/// When to come back after a refusal, where nothing better is known.
inline constexpr std::chrono::milliseconds refusedRetryAfter = 300ms;
/// The longest such time: bursts last for some seconds, and callers for not much more.
inline constexpr std::chrono::milliseconds refusedRetryAfterMost = 2s;
/// When to come back to an instance that knows no configuration yet: it asks for it at this pace.
inline constexpr std::chrono::milliseconds startingRetryAfter = 300ms;
/// Age of the last confirmation of the routes up to which an unknown route is truly unknown: below
/// the 2 s in which a change must be in force everywhere.
inline constexpr std::chrono::milliseconds routesTrustTime = 1900ms;

/// Share of the engines that run requests at least, where one engine takes many requests at once
/// and where it takes few; how many that is at least; and from what batch on it is many. On the
/// users' calm days a fifth of the large ones suffices (worth 0.588 with the stages that engines
/// start with, 0.765 with two of nine; with one of nine 0.224). Small ones run out of places: with
/// batches of 16, two in five in place of three in ten gave a mean worth of 0.451 in place of 0.421
/// over five days with trouble and three seeds; 0.45, 0.5 and 0.55 gave less.
inline constexpr double decodeShareLargeBatch = 0.2;
inline constexpr double decodeShareSmallBatch = 0.4;
inline constexpr std::uint32_t decodersAtLeast = 2;
inline constexpr std::uint32_t largeBatch = 64;
/// Requests that run at once at one engine, as a share of its batch, from which on it needs help:
/// beyond it, they queue. Helped at 45 of 128 already, engines were short where prompts are read:
/// worth 0.517 and 0.298 in place of 0.762 and 0.568 on the users' calm and heaviest day.
inline constexpr double decodeFillShare = 0.95;
/// Fill of the others, against that, up to which an engine that runs requests is given back.
inline constexpr double decodeGiveBackShare = 0.7;
/// Share of the engines that always read prompts.
inline constexpr double prefillShareLeast = 0.3;
/// Engines of a service below which their stages stay as they are: each change takes one away.
inline constexpr std::size_t stagedEnginesAtLeast = 4;
/// Time over which the running requests are averaged: longer than a burst's first second, shorter
/// than a change of stage takes.
inline constexpr double runningMeanSeconds = 2;
/// Time between two looks at the stages, and time for which the number of runners must have stayed
/// the same before: a fleet's runners enter themselves within some seconds of its start.
inline constexpr std::chrono::milliseconds stageLookTime = 500ms;
inline constexpr std::chrono::milliseconds stageSettleTime = 1000ms;
/// Time for which another split must have been wanted, but where less than so many requests run: a
/// crashed engine is back after 2 to 4 s.
inline constexpr std::chrono::milliseconds stagePatience = 5s;
/// The same for giving engines back to reading: a burst of up to 15 s comes again.
inline constexpr std::chrono::milliseconds stageGiveBackPatience = 15s;
/// Engines of which one may change at a time while requests run: each is away for 3 s. Without this
/// bound 19 of 140 left at once, and 434 of 3,900 requests of the next seconds were refused.
inline constexpr std::size_t enginesPerChange = 32;
inline constexpr double restRunning = 1;
/// Time in which an order has shown its effect, or is lost: engines take 3 s and what runs there.
inline constexpr std::chrono::milliseconds stageOrderTime = 8s;
/// For one call of a report or an order; they are answered at once.
inline constexpr std::chrono::milliseconds stageCallTime = 400ms;

/// Calls to the platform's store: time to connect, to read, to write. A slow store takes 60 times
/// its usual 4 ms.
inline constexpr std::chrono::milliseconds storeConnectTime = 500ms;
inline constexpr std::chrono::milliseconds storeReadTime = 1000ms;
inline constexpr std::chrono::milliseconds storeWriteTime = 1500ms;
inline constexpr std::size_t maxIdleStoreConnections = 2;
/// Lives of runners that end under a request until it is sent no more; for how long it isn't; by
/// how many times as long with each further life; and the longest time. It is tried three times in
/// the first day, and an innocent one comes free soon.
inline constexpr std::size_t quarantineLives = 3;
inline constexpr std::chrono::milliseconds quarantineTimeFirst = 10min;
inline constexpr int quarantineGrowth = 6;
inline constexpr std::chrono::milliseconds quarantineTimeMost = 48h;
/// Lives from which on a request under which runners ended goes on at no other runner.
inline constexpr std::size_t retryLives = 2;
/// Requests that are remembered because a runner ended under them, and lives of each.
inline constexpr std::size_t maxSuspects = 1024;
inline constexpr std::size_t maxSuspectLives = 8;
/// Lives from which on the store keeps them, and how many requests it keeps.
inline constexpr std::size_t storedLives = 2;
inline constexpr std::size_t maxStoredSuspects = 256;
/// Time in which a host says that nobody listens: some ten round trips.
inline constexpr std::chrono::milliseconds endedCheckTime = 60ms;
/// Between two looks at what others have in quarantine; for what is told together; and for which
/// more of the same end joins its rumor.
inline constexpr std::chrono::milliseconds suspectLookTime = 500ms;
inline constexpr std::chrono::milliseconds suspectGatherTime = 50ms;
inline constexpr std::chrono::milliseconds suspectReportTime = 30s;
/// Time for which a broken answer whose runner still seemed to live is looked at again.
inline constexpr std::chrono::milliseconds suspectDoubtTime = 3s;
inline constexpr std::size_t maxSuspectDoubts = 256;
/// Bits of what a heartbeat says of an instance's quarantine: heartbeats must stay short.
inline constexpr std::uint32_t suspectMarkBits = 24;
/// Time for which another instance's mark must have differed: rumors may still be on their way.
inline constexpr std::chrono::milliseconds suspectDifferTime = 1500ms;
/// By how much a look that is late says that the process stood still.
inline constexpr std::chrono::milliseconds suspectSuspended = 1s;
/// Time without a confirmation of the store after which an instance was cut off; watches wait for
/// less.
inline constexpr std::chrono::milliseconds suspectCutOff = 6s;
/// Between two reads of the store for what others have and this instance hasn't.
inline constexpr std::chrono::milliseconds suspectReadPauseFirst = 1s;
inline constexpr std::chrono::milliseconds suspectReadPauseMost = 16s;
/// The same where it was never read since the start or since a write that failed.
inline constexpr std::chrono::milliseconds suspectFirstReadPauseMost = 2s;

/// Pages of one list: with 500 objects or 1 MB each, more than a process's memory holds.
inline constexpr std::size_t storeListPagesMost = 256;
/// Bounds of the time for which one watch waits (watchTimeFor()): each call is priced.
inline constexpr std::chrono::milliseconds gatewayWatchTimeLeast = 500ms;
inline constexpr std::chrono::milliseconds gatewayWatchTimeMost = 10s;
/// From a watch that is given up to the last request that arrives without its news: a pause of
/// 100 ms, an answer of a slow store (360 ms), and 150 ms to connect to a runner.
inline constexpr std::chrono::milliseconds storeNoticeTime = 700ms;
/// From a confirmation that ceases to count to the last request that arrives without newer news: an
/// answer of a slow store (360 ms), 150 ms to connect to a runner, and as much as 90 ms of work.
inline constexpr std::chrono::milliseconds untoldNoticeTime = 600ms;
/// Shorter, and those who follow the store for others would ask it twice a second and more.
inline constexpr std::chrono::milliseconds trustTimeLeast = 1300ms;
/// Others in an instance's zone from which on it tells of the store to these only. In smaller
/// zones, most instances would tell.
inline constexpr std::size_t enoughNearToTell = 8;
/// Silence after which a connection to the store counts as lost: its host acknowledges probes also
/// while a watch waits.
inline constexpr std::chrono::seconds storeSilence = 1s;
/// The same right after a failure: what has changed meanwhile is there at once.
inline constexpr std::chrono::milliseconds storeProbeWatchTime = 50ms;
/// Time from one watch to the next at least. A runner that leaves must be left alone after 2 s.
inline constexpr std::chrono::milliseconds gatewayWatchGap = 900ms;
/// The same where one instance asks for all others: its calls are few, and its news are theirs.
inline constexpr std::chrono::milliseconds tellersWatchGap = 300ms;
/// Pauses between tries to reach the store: first, and bound. A change must be in force 2 s after
/// the store took it.
inline constexpr std::chrono::milliseconds gatewayStorePauseFirst = 50ms;
inline constexpr std::chrono::milliseconds gatewayStorePauseMost = 400ms;
/// What longer times of the operators' configuration count as: beyond any request.
inline constexpr std::chrono::milliseconds mostConfiguredTime = 24h;
/// By how much an answer that the store held back may be older than its arrival.
inline constexpr std::chrono::milliseconds storeConfirmDelay = 300ms;
/// Connections to the small servers beside the callers' one, and bytes of a question there.
inline constexpr std::uint32_t maxQuestionConnections = 64;
inline constexpr std::size_t maxQuestionBytes = 4096;
/// Time between two looks at the list of instances: after one that showed something new, and at
/// most.
inline constexpr std::chrono::milliseconds instancesLookTime = 2s;
inline constexpr std::chrono::milliseconds instancesLookTimeMost = 16s;
/// After the store has come back from an older copy: time over which the instances' writes of their
/// own objects are spread, and time for which instances that the copy lacks are kept. Stale lists
/// are some seconds old.
inline constexpr std::chrono::milliseconds enterSpreadTime = 1000ms;
inline constexpr std::chrono::milliseconds keepListedTime = 10s;
/// Time without an answer of the store after which entries may have lapsed while it was away, and
/// the time in which those of living runners are back: the users' pages say about two seconds.
inline constexpr std::chrono::milliseconds storeOutageTime = 500ms;
inline constexpr std::chrono::milliseconds entryReturnTime = 2000ms;
/// Time between the choice of a runner that is only forgiven, and the request's arrival there: 150
/// ms to connect, and as much for a busy processor.
inline constexpr std::chrono::milliseconds forgivenMargin = 300ms;
/// Age up to which a copy of the store is expected to be restored; what has left is remembered so
/// long. Copies are some seconds old.
inline constexpr std::chrono::milliseconds lostWritesTime = 60s;
/// Time after which an entry of such a copy is believed if it still stands: entries of runners that
/// have ended lapse after three of their heartbeats, of 1.2 s each.
inline constexpr std::chrono::milliseconds copyDoubtTime = 10s;
/// Entries of such a copy that an instance names to those that start: some kilobytes in the store.
inline constexpr std::size_t maxEntryMarks = 64;
/// Time after its return in which entries that lapsed while it was away are found missing.
inline constexpr std::chrono::milliseconds entryLapseTime = 500ms;
/// Between gateways: rounds and time to suspicion. Callers keep an address for 2 s, and lose 1 s on
/// one that is dark.
inline constexpr std::chrono::milliseconds gatewayGossipTime = 250ms;
inline constexpr std::chrono::milliseconds gatewaySuspectTime = 1000ms;
/// Time beyond the idle bound for which callers' connections are kept.
inline constexpr std::chrono::milliseconds idleMargin = 2s;
/// Instances in a caller's zone from which on it is sent to these only: with one, its loss would
/// leave the caller with nobody.
inline constexpr std::size_t enoughNearAddresses = 2;
/// Time before the end by which the last answer must be out, and time for which callers that have
/// just been told of this instance are served on.
inline constexpr std::chrono::milliseconds leaveMargin = 900ms;
inline constexpr std::chrono::milliseconds lastCallersTime = 500ms;

/// Longest time of a route or limit; longer ones are held to it, and can be added to any clock's.
inline constexpr std::chrono::milliseconds maxRouteTime = std::chrono::hours(24);
/// What the largest weight of a route becomes where one is a fraction or beyond 32 bits.
inline constexpr double scaledWeight = 1'000'000;
/// Entries of one configuration that are refused with a line each.
inline constexpr std::size_t maxRefusedLines = 16;

} // namespace poplarspool::config
