#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of duties that one instance at a time has towards the platform.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Fences that one epoch of the store has room for: one a term of a second and a half lasts weeks.
inline constexpr std::uint64_t fencesPerEpoch = 1'000'000;
/// The last epoch of the store that has room for fences.
inline constexpr std::uint64_t storeEpochMost = 10'000'000'000'000;
static_assert(storeEpochMost < UINT64_MAX / fencesPerEpoch);

/// Between two looks of the holder at what is due, and between two tries to become it.
inline constexpr std::chrono::milliseconds dutyLookTime = 500ms;
inline constexpr std::chrono::milliseconds dutyTryPause = 1s;
/// For one call to the platform: a slow one takes 60 times its usual 4 ms.
inline constexpr std::chrono::milliseconds dutyCallTime = 700ms;

/// Between two tellings of an instance's counts: what it counted since is lost with it.
inline constexpr std::chrono::milliseconds usageTellTime = 400ms;
/// Instances that keep the counts of all others: all would have to be lost at once.
inline constexpr std::size_t usageKeepers = 4;
/// Times that a changed count is told, against lost datagrams.
inline constexpr std::uint32_t usageRepeats = 3;
/// Time between two tellings of a keeper's estimate of the time to all.
inline constexpr std::chrono::milliseconds clockTellTime = 2s;
/// Time for which another instance's clock, or its estimate, counts.
inline constexpr std::chrono::milliseconds clockMemory = 10s;
/// Tellings of one clock of which the one that was least late counts.
inline constexpr std::size_t clockSamples = 8;
/// Bytes of counts in one datagram; its frame and the rest of its message take the others.
inline constexpr std::size_t usageBytesPerDatagram = 1100;
/// Counts in one datagram, and lives of instances that are kept for one window.
inline constexpr std::size_t maxToldCounts = 512;
inline constexpr std::size_t maxUsageLives = 4096;
/// Windows that are kept, and the last ones that are reported by one holder at once.
inline constexpr std::uint64_t usageWindowsKept = 8;
inline constexpr std::uint64_t usageWindowsAtOnce = 3;
/// From a window's end until its counts have been told, where all are heard.
inline constexpr std::chrono::milliseconds usageSettleTime = 1200ms;
/// Share of the time until a report is late in which silent instances are waited for: the rest
/// leaves room for another holder.
inline constexpr double usagePatienceShare = 0.5;

} // namespace poplarspool::config
