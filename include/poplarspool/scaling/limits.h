#pragma once

#include <chrono>

/// Limits for ordering runners.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Interval between two iterations.
inline constexpr std::chrono::milliseconds fleetInterval = 1s;
/// Time for which the number of runners must have been stable before the first order.
inline constexpr std::chrono::milliseconds fleetSettleTime = 1500ms;
/// Time for which a kind without available capacity isn't ordered again.
inline constexpr std::chrono::milliseconds capacityBackoffTime = 2s;
/// Time after the expected boot time after which an order whose runners haven't appeared is issued
/// again.
inline constexpr std::chrono::milliseconds fleetOrderTimeout = 4s;
/// Minimum share of the wanted runners. Below it, regular runners are ordered to replace reclaimed
/// spot runners. If one of four zones is reclaimed, the others suffice until its spot runners are
/// back.
inline constexpr double minFleetShare = 0.7;
/// Maximum price of a spot runner, relative to a regular one, at which replacement pays off.
inline constexpr double maxSpotPrice = 0.8;

} // namespace poplarspool::config
