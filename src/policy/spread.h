#pragma once

#include <cstdint>
#include <span>

/// Spreads requests over runners so that instances which hold the same old reports don't all send
/// to the runner that was the emptiest then.
namespace poplarspool::policy {

/// Fills the runners up to one level, as water would, with the work that all instances are taken
/// to have sent since the reports; then draws a runner by how much of it would have gone there.
/// Little unseen work draws the best runner, much of it spreads over all.
/// @param scores Seconds; the least is the best. At least one.
/// @param unseenSeconds Work that the scores don't show, in the scores' unit.
/// @param draw Any number.
/// @returns Index into scores.
std::size_t drawByLevel(std::span<const double> scores, double unseenSeconds, std::uint64_t draw);

/// Spreads the bits of a number that may be as plain as a count.
std::uint64_t mixBits(std::uint64_t number);

/// As mixBits(), cheaper, for what is a hash already; good for comparing only.
inline std::uint64_t spreadBits(std::uint64_t hash)
{
    return (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93u;
}

} // namespace poplarspool::policy
