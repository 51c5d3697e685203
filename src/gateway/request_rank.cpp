#include "gateway/request_proxy.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/route_index.h"

#include <algorithm>
#include <utility>

namespace poplarspool::gateway {

std::uint32_t request_proxy::rankOf() const
{
    const auto ownersRank = owner != nullptr ? owner->rank : std::nullopt;
    const bool doWorkspacesDecide =
            !context.usesRankedWaiting || view->index->doWorkspaceRanksDiffer;
    const std::uint32_t given =
            admission::rankOf(ownersRank, selectedRoute->rank, doWorkspacesDecide);
    return std::min(given, config::maxRank);
}

/// Without workspaces, callers are not told apart, and all urgent work counts as rank 0.
bool request_proxy::doRanksCount() const
{
    return context.usesRankedWaiting && engine != nullptr && view->table->needsKeys;
}

/// Within each class the operators' ranks decide. Late requests are prefilled when no urgent
/// request waits: if they came first, each of them would make the next request late too.
std::uint32_t request_proxy::priorityOf(const placement &place) const
{
    return (place.urgency == send_class::Urgent ? config::urgentPriority : config::latePriority)
            + place.rank;
}

std::uint32_t request_proxy::recordRank(const placement &place, bool isPrefilled)
{
    if (!doRanksCount())
        return 0;
    if (place.urgency == send_class::Urgent && !isPrefilled)
        context.runnerTable.recordRank(service, place.rank, rankOf(), place.prefillMs);
    if (place.rank != rankOf() && !isPrefilled && !std::exchange(isPromoted, true))
        context.metrics.promoted.add();
    return place.rank;
}

} // namespace poplarspool::gateway
