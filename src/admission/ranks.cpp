#include "poplarspool/admission/ranks.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace poplarspool::admission {

namespace {

/// Makes the selection independent of other choices by the hash of the request id, such as the
/// service of a route.
constexpr std::uint64_t promotionSeed = 0x70726f6d6f7465;

std::size_t levelOf(std::uint32_t rank)
{
    return std::min<std::size_t>(rank, config::admissionRanks - 1);
}

} // namespace

std::uint32_t rankOf(std::optional<std::uint32_t> workspaceRank, std::uint32_t routeRank,
                     bool doWorkspaceRanksDiffer)
{
    return doWorkspaceRanksDiffer ? workspaceRank.value_or(routeRank) : routeRank;
}

waiting_work workAhead(const waiting_work &urgent, const lower_ranks &lower, std::uint32_t rank)
{
    waiting_work ahead = urgent;
    for (std::size_t level = levelOf(rank); level < lower.size(); ++level) {
        ahead.count -= std::min(ahead.count, lower[level].count);
        ahead.prefillMs = std::max(ahead.prefillMs - lower[level].prefillMs, 0.0);
    }
    return ahead;
}

bool isPromotable(std::string_view requestId)
{
    return hashOf(requestId, promotionSeed) % config::promotionInterval == 0;
}

double overtakingFactor(const overtaking_shares &shares, std::uint32_t rank)
{
    return 1 / (1 - std::min(shares[levelOf(rank)], config::maxOvertakingShare));
}

void rank_mix::record(std::uint32_t rank, std::uint32_t ownRank, double workMs, mono_time now)
{
    const std::chrono::duration<double> passed = now - updatedAt;
    const double kept = std::exp(-passed / std::chrono::duration<double>(config::rankMixTime));
    for (double &sum : sums)
        sum *= kept;
    sums[levelOf(rank)] += workMs;
    promoted = promoted * kept + (rank == ownRank ? 0 : workMs);
    updatedAt = now;
}

bool rank_mix::hasRoomForPromotion() const
{
    const double total = std::accumulate(sums.begin(), sums.end(), 0.0);
    return promoted <= total * config::maxPromotedShare;
}

overtaking_shares rank_mix::shares() const
{
    const double total = std::accumulate(sums.begin(), sums.end(), 0.0);
    overtaking_shares found{};
    double higher = 0;
    for (std::size_t level = 0; level < sums.size(); ++level) {
        found[level] = total > 0 ? higher / total : 0;
        higher += sums[level];
    }
    return found;
}

} // namespace poplarspool::admission
