#include "spread.h"

#include <algorithm>

namespace poplarspool::policy {

namespace {

/// @returns The level up to which the scores below it can be raised with the given amount of work
///          (water-filling).
double fillLevel(std::span<const double> scores, double work)
{
    double level = *std::max_element(scores.begin(), scores.end()) + work;
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
        level = (sum + work) / static_cast<double>(below);
    }
}

} // namespace

std::uint64_t mixBits(std::uint64_t number)
{
    // Xor-shifts and an odd multiplier are bijective, so distinct inputs have distinct results.
    number ^= number >> 31;
    number *= 0xd6e8feb86659fd93u;
    number ^= number >> 32;
    number *= 0xd6e8feb86659fd93u;
    return number ^ (number >> 32);
}

std::size_t drawByWaterFilling(std::span<const double> scores, double unseenSeconds,
                               std::uint64_t draw)
{
    // With a minimum amount, runners with equal scores are drawn evenly even without unseen work.
    constexpr double minWork = 1e-6;
    const double work = std::max(unseenSeconds, minWork);
    const double level = fillLevel(scores, work);
    constexpr double drawRange = 18446744073709551616.0; // 2^64
    double remaining = static_cast<double>(mixBits(draw)) / drawRange * work;
    std::size_t last = 0;
    for (std::size_t at = 0; at < scores.size(); ++at) {
        if (scores[at] >= level)
            continue;
        last = at;
        remaining -= level - scores[at];
        if (remaining < 0)
            break;
    }
    return last;
}

} // namespace poplarspool::policy
