#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the records of crashes.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Number of runner incarnations that must end under a request, or under a part of prompts that was
/// never served, before it is quarantined; the first
/// quarantine time; the factor by which each further incarnation extends it; and the maximum. The
/// request is tried three times in the first day, and an innocent one is released soon.
inline constexpr std::size_t quarantineIncarnations = 3;
inline constexpr std::chrono::milliseconds initialQuarantineTime = 10min;
inline constexpr int quarantineGrowth = 6;
inline constexpr std::chrono::milliseconds maxQuarantineTime = 48h;
/// Number of ended incarnations from which a request is not retried on another runner.
inline constexpr std::size_t noRetryIncarnations = 2;
/// The same number for a part that may be at these ends by chance.
inline constexpr std::size_t servedPartIncarnations = 5;
/// Time within which ends count as one moment, as when many runners are killed at once.
inline constexpr std::chrono::milliseconds crashMoment = 500ms;
/// Maximum parts of one request that are suspected: its first ones.
inline constexpr std::size_t maxSuspectParts = 62;
/// Maximum crash records of each kind kept in memory, maximum incarnations per record, and maximum
/// digests per incarnation.
inline constexpr std::size_t maxCrashRecords = 1024;
inline constexpr std::size_t maxCrashIncarnations = 8;
inline constexpr std::size_t maxEndDigests = 4;
/// Maximum ends of which the order is remembered.
inline constexpr std::size_t maxNumberedEnds = 4096;
/// Time for which a runner must outlive an answer for it to speak for the request and its parts; if
/// the runner ends within the second time, it counts as having ended under the request.
inline constexpr std::chrono::milliseconds survivalTime = 1s;
inline constexpr std::chrono::milliseconds lateCrashTime = 300ms;
/// Maximum answers whose runners are watched.
inline constexpr std::size_t maxWatchedAnswers = 4096;
/// Slots for parts that were served here, of 8 bytes each.
inline constexpr std::size_t maxServedParts = 8192;
/// Instances that judge a part, and those that are told of each end under it. In a small fleet the
/// latter are all, so that the next request with the part isn't retried.
inline constexpr std::size_t partJudges = 3;
inline constexpr std::size_t toldInstances = 8;
/// Time for which a judge waits for those that have served a suspected part; and minimum time
/// between two questions about the same part.
inline constexpr std::chrono::milliseconds witnessTime = 150ms;
inline constexpr std::chrono::milliseconds questionInterval = 2s;
/// Maximum questions that a judge asks at once; the others follow at its next look.
inline constexpr std::size_t maxQuestionsAtOnce = 4;
/// Interval at which judges look at their parts, without new reports and with many.
inline constexpr std::chrono::milliseconds idleJudgeInterval = 250ms;
inline constexpr std::chrono::milliseconds minJudgeInterval = 20ms;
/// Time between two requests with a part whose quarantine is over, until one is served.
inline constexpr std::chrono::milliseconds partTrialInterval = 10s;
/// Number of incarnations from which a crash record is stored, and the maximum number of stored
/// records.
inline constexpr std::size_t minStoredIncarnations = 2;
inline constexpr std::size_t maxStoredCrashRecords = 256;
/// Interval of the comparison with other instances' quarantines; time over which updates are
/// batched; and time for which further reports of the same end are merged into its rumor.
inline constexpr std::chrono::milliseconds quarantineInterval = 500ms;
inline constexpr std::chrono::milliseconds crashUpdateBatchTime = 50ms;
inline constexpr std::chrono::milliseconds crashRumorMergeTime = 30s;
/// Time for which a broken answer is rechecked if its runner still seemed to be running.
inline constexpr std::chrono::milliseconds unconfirmedEndTime = 3s;
inline constexpr std::size_t maxUnconfirmedEnds = 256;
/// Bits of the quarantine fingerprint in a heartbeat: heartbeats must stay short.
inline constexpr std::uint32_t quarantineFingerprintBits = 24;
/// Time for which another instance's fingerprint must have differed: rumors may still be in
/// transit.
inline constexpr std::chrono::milliseconds quarantineFingerprintDifferTime = 1500ms;
/// Delay of an iteration from which the process counts as having been suspended.
inline constexpr std::chrono::milliseconds quarantineSuspendedTime = 1s;
/// Time without a confirmation from the store after which the instance counts as partitioned;
/// watches wait for less.
inline constexpr std::chrono::milliseconds quarantinePartitionTime = 6s;
/// Pauses between reads of the store for crash records that this instance lacks: initial and
/// maximum.
inline constexpr std::chrono::milliseconds initialCrashReadPause = 1s;
inline constexpr std::chrono::milliseconds maxCrashReadPause = 16s;
/// The maximum if the store has not been read since the start or since a failed write.
inline constexpr std::chrono::milliseconds maxFirstCrashReadPause = 2s;
/// Time over which the instances spread their reads and writes after a store rollback.
inline constexpr std::chrono::milliseconds crashRewriteSpreadTime = 1000ms;

} // namespace poplarspool::config
