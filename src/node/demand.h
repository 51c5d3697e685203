#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/policy/plan.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

/// Sums the engine time that callers demand from each pool, over all instances, for the planner.
namespace poplarspool::node {

inline constexpr std::string_view demandRumorPrefix = "demand/";

class demand_table
{
public:
    demand_table(instance_id self, clock_source clock);

    /// Adds the estimated engine time of a request for that pool.
    void onRequest(const pool_id &pool, double prefillSeconds, double decodeSeconds);
    /// Stores the totals of another instance from a rumor whose key begins with demandRumorPrefix.
    void onRumor(const peer::rumor &rumor);
    /// Spreads this instance's totals by gossip, at most once in config::minLoadRumorInterval.
    void announce(const std::function<void(peer::rumor)> &spread);

    /// @returns Engine seconds demanded per second since the previous call for that pool.
    policy::demand_estimate demandSinceLastQuery(const pool_id &pool);

private:
    /// Engine seconds demanded since the start of the instance that counts them.
    struct totals
    {
        double prefill = 0;
        double decode = 0;
    };

    using source = std::pair<pool_id, std::string>; ///< Pool, and the instance that counts.

    instance_id self;
    clock_source clock;
    std::mutex guard;
    std::map<pool_id, totals> ownTotals;
    mono_time announcedAt{};
    std::map<source, totals> received; ///< Latest totals of all instances, including this one.
    std::map<source, totals> alreadyCounted; ///< Totals already returned by demandSinceLastQuery().
    std::map<pool_id, mono_time> queriedAt;
};

} // namespace poplarspool::node
