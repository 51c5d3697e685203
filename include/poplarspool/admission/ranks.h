#pragma once

#include "poplarspool/admission/limits.h"
#include "poplarspool/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

/// Admission by rank: what a request waits for at an engine that serves requests by priority. Pure
/// functions over plain values: no I/O, no clock, no threads.
///
/// The load that it addresses: callers of several ranks request more than the engines can serve.
/// If the wait of a request of rank 0 included the requests of lower ranks, it would be classified
/// as late although engines serve it first.
namespace poplarspool::admission {

/// @param workspaceRank None: the workspace has no rank of its own.
/// @param doWorkspaceRanksDiffer Whether the configuration ranks any two workspaces differently.
/// @returns The rank of a request. The workspace's takes precedence over the route's. If all
///          workspaces have the same rank, it orders nothing, and the route's decides: otherwise
///          all classes of requests would be served alike.
std::uint32_t rankOf(std::optional<std::uint32_t> workspaceRank, std::uint32_t routeRank,
                     bool doWorkspaceRanksDiffer);

/// Urgent requests that wait at an engine.
struct waiting_work
{
    std::uint32_t count = 0; ///< Requests that have not begun.
    double prefillMs = 0; ///< Prefill time of their prompts.

    bool operator==(const waiting_work &) const = default;
};

/// Of the urgent requests, those of rank 1, of rank 2, and of rank 3 and below.
using lower_ranks = std::array<waiting_work, config::admissionRanks - 1>;

/// @param urgent Work of all ranks.
/// @param lower Included in `urgent`.
/// @returns The urgent work that an engine serves before a new request of that rank.
waiting_work workAhead(const waiting_work &urgent, const lower_ranks &lower, std::uint32_t rank);

/// Selects the requests that are served at rank 0 while capacity is short. The same on all
/// instances and for all tries of a request.
bool isPromotable(std::string_view requestId);

/// By rank: share of the urgent work sent lately that has a higher priority.
using overtaking_shares = std::array<double, config::admissionRanks>;

/// @returns The factor by which a request waits longer than the work before it takes, because
///          requests of higher priority that arrive later overtake it. 1 for rank 0.
double overtakingFactor(const overtaking_shares &shares, std::uint32_t rank);

/// Recent urgent work by rank, exponentially weighted. While capacity is short, the work that is
/// sent is as much as the engines can do, so that its shares are shares of the capacity.
class rank_mix
{
public:
    /// @param rank At which it is served.
    /// @param ownRank Its own; differs if it was promoted.
    /// @param workMs Prefill time of the request.
    void record(std::uint32_t rank, std::uint32_t ownRank, double workMs, mono_time now);
    overtaking_shares shares() const;
    /// @returns Whether promoted requests leave enough of the capacity to others.
    bool hasRoomForPromotion() const;

private:
    std::array<double, config::admissionRanks> sums{};
    double promoted = 0; ///< Of the sums.
    mono_time updatedAt{};
};

} // namespace poplarspool::admission
