#include "spread.h"

#include <algorithm>

namespace poplarspool::policy {

namespace {

/// @returns The level that the water reaches: it rises past one runner after the other until the
///          runners below it hold all of it.
double levelOf(std::span<const double> scores, double water)
{
    double level = *std::max_element(scores.begin(), scores.end()) + water;
    std::size_t before = 0;
    for (;;) {
        double sum = 0;
        std::size_t below = 0;
        for (const double score : scores)
            if (score < level) {
                sum += score;
                ++below;
            }
        if (below == 0 || below == before)
            return level;
        before = below;
        level = (sum + water) / static_cast<double>(below);
    }
}

} // namespace

std::uint64_t mixBits(std::uint64_t number)
{
    // Odd multiplier and shifts, so that no two numbers get the same result.
    number ^= number >> 31;
    number *= 0xd6e8feb86659fd93u;
    number ^= number >> 32;
    number *= 0xd6e8feb86659fd93u;
    return number ^ (number >> 32);
}

std::size_t drawByLevel(std::span<const double> scores, double unseenSeconds, std::uint64_t draw)
{
    // Equal runners share evenly even if nothing else is under way.
    constexpr double leastWater = 1e-6;
    const double water = std::max(unseenSeconds, leastWater);
    const double level = levelOf(scores, water);
    constexpr double drawRange = 18446744073709551616.0; // 2^64
    double left = static_cast<double>(mixBits(draw)) / drawRange * water;
    std::size_t last = 0;
    for (std::size_t at = 0; at < scores.size(); ++at) {
        if (scores[at] >= level)
            continue;
        last = at;
        left -= level - scores[at];
        if (left < 0)
            break;
    }
    return last;
}

} // namespace poplarspool::policy
