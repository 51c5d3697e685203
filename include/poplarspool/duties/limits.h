#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of duties, which one instance at a time carries out for the platform.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Fences in one epoch of the store. With one fence per term of 1.5 s they last for more than two
/// weeks.
inline constexpr std::uint64_t fencesPerEpoch = 1'000'000;
/// Last epoch of the store for which fences can be allocated.
inline constexpr std::uint64_t maxStoreEpoch = 10'000'000'000'000;
static_assert(maxStoreEpoch < UINT64_MAX / fencesPerEpoch);

/// Interval at which the owner of a duty checks for due work, and at which it tries to become the
/// holder.
inline constexpr std::chrono::milliseconds dutyInterval = 500ms;
inline constexpr std::chrono::milliseconds dutyRetryInterval = 1s;
/// Timeout of one call to the platform: a slow call takes 60 times the usual 4 ms.
inline constexpr std::chrono::milliseconds dutyCallTimeout = 700ms;

/// Interval at which an instance sends its counts. If it crashes, counts since the last update are
/// lost.
inline constexpr std::chrono::milliseconds usageUpdateInterval = 400ms;
/// Replicas: instances that hold the counts of all others. Counts are lost only if all of them
/// crash at once.
inline constexpr std::size_t usageReplicas = 4;
/// Number of updates in which a changed count is sent, since datagrams may be lost.
inline constexpr std::uint32_t usageUpdateRepeats = 3;
/// Interval at which a replica sends its time estimate to all instances.
inline constexpr std::chrono::milliseconds clockUpdateInterval = 2s;
/// Time after which a received clock sample or estimate expires.
inline constexpr std::chrono::milliseconds clockRetention = 10s;
/// Samples kept per clock; the one with the lowest latency is used.
inline constexpr std::size_t maxClockSamples = 8;
/// Bytes of counts in one datagram; the remainder is for its frame and the other message fields.
inline constexpr std::size_t usageBytesPerDatagram = 1100;
/// Maximum number of counts in one datagram, and of instance incarnations kept per window.
inline constexpr std::size_t maxCountsPerUpdate = 512;
inline constexpr std::size_t maxUsageIncarnations = 4096;
/// Number of windows that are kept, and maximum number of windows that one term adds to the
/// reports; these are the most recent ones.
inline constexpr std::uint64_t usageWindowsKept = 8;
inline constexpr std::uint64_t maxUsageWindowsPerTerm = 3;
/// Time from the end of a window until its counts have arrived, if all instances are reachable.
inline constexpr std::chrono::milliseconds usageSettleTime = 1200ms;
/// Share of the time until a report is late that is spent waiting for silent instances; the rest is
/// left for another holder to take over.
inline constexpr double usageWaitShare = 0.5;

} // namespace poplarspool::config
