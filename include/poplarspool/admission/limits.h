#pragma once

#include <chrono>
#include <cstddef>

/// Limits for the admission of requests by rank.
namespace poplarspool::config {

/// Ranks that admission tells apart; the lowest includes all ranks below it. As many as load
/// updates carry.
inline constexpr std::size_t admissionRanks = 4;
/// One request in this many of each rank below 0 is served at rank 0 while capacity is short.
/// Without it, a class would get nothing for as long as the classes above it use all capacity. A
/// fifth leaves most of the capacity to rank 0, and callers that are refused reach it with their
/// next few requests.
inline constexpr std::size_t promotionInterval = 5;
/// Share of the urgent work sent lately from which no further request is promoted. Lower ranks
/// often have longer objectives and accept longer queues: at 8 times the load that engines can
/// serve, promoted requests alone would fill the queues beyond what rank 0 accepts.
inline constexpr double maxPromotedShare = 0.5;
/// Time constant of the mix of ranks. Callers' objectives are below one second: a mix that is older
/// says nothing about what overtakes a request while it waits.
inline constexpr std::chrono::milliseconds rankMixTime{2000};
/// Maximum share of the capacity that is assumed to overtake a request: the estimate grows as
/// 1 / (1 - share), and a mix of few requests must not make it infinite.
inline constexpr double maxOvertakingShare = 0.8;

} // namespace poplarspool::config
