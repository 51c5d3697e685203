#pragma once

#include <chrono>

/// Limits of orders of runners.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Between two looks at the fleet.
inline constexpr std::chrono::milliseconds fleetLookTime = 1s;
/// Time for which the number of runners must have stayed the same before the first order.
inline constexpr std::chrono::milliseconds fleetSettleTime = 1500ms;
/// Time for which a kind that was not to be had is not asked for again.
inline constexpr std::chrono::milliseconds fleetDryTime = 2s;
/// Time beyond a boot after which an order whose runners aren't there is given again.
inline constexpr std::chrono::milliseconds fleetPatience = 4s;
/// Share of the wanted runners below which regular ones are ordered in place of spot ones that were
/// taken away: with one of four zones gone, the others suffice until they are back.
inline constexpr double fleetLeastShare = 0.7;
/// Price of a spot runner, against a regular one, up to which it is worth the change.
inline constexpr double spotPriceMost = 0.8;

} // namespace poplarspool::config
