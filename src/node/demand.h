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

/// Adds up how much engine time callers ask of each pool, over all instances, for the planner.
namespace poplarspool::node {

inline constexpr std::string_view demandRumorPrefix = "demand/";

class demand_book
{
public:
    demand_book(instance_id self, clock_source clock);

    /// A request for that pool was accepted.
    void onRequest(const pool_id &pool, double prefillSeconds, double decodeSeconds);
    /// A rumor whose key begins with demandRumorPrefix.
    void onRumor(const peer::rumor &news);
    /// Spreads this instance's totals, at most once in config::loadSpreadTime.
    void tell(const std::function<void(peer::rumor)> &spread);

    /// @returns Engine seconds wanted per second since the last call for that pool.
    policy::demand_estimate since(const pool_id &pool);

private:
    /// Engine seconds, since the start of whoever counted them.
    struct totals
    {
        double prefill = 0;
        double decode = 0;
    };

    using source =
            std::pair<pool_id, std::string>; ///< Pool, and the life of the instance that counts.

    instance_id self;
    clock_source clock;
    std::mutex guard;
    std::map<pool_id, totals> own;
    mono_time toldAt{};
    std::map<source, totals> heard; ///< Of all instances, this one too.
    std::map<source, totals> seen; ///< What `since` has counted already.
    std::map<pool_id, mono_time> askedAt;
};

} // namespace poplarspool::node
