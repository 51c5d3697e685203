#pragma once

#include <cstdint>
#include <span>

/// Spreads requests over runners so that instances with the same outdated reports don't all choose
/// the runner that was the least loaded at that time.
namespace poplarspool::policy {

/// Distributes the work that all instances are assumed to have sent since the reports by
/// water-filling, and draws a runner with a probability proportional to its share of that work.
/// With little unseen work the best runner is drawn, with much unseen work the draws spread over
/// all runners.
/// @param scores In seconds; the lowest is the best. Not empty.
/// @param unseenSeconds Work that the scores don't include yet, in the unit of the scores.
/// @param draw Any number; seeds the draw.
/// @returns Index into scores.
std::size_t drawByWaterFilling(std::span<const double> scores, double unseenSeconds,
                               std::uint64_t draw);

/// Mixes the bits of a number, which may be a plain counter.
std::uint64_t mixBits(std::uint64_t number);

/// Cheaper variant of mixBits() for numbers that are hashes already. Use the result for comparisons
/// only.
inline std::uint64_t spreadBits(std::uint64_t hash)
{
    return (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93u;
}

} // namespace poplarspool::policy
