#pragma once

#include "node/freshness.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/node/view_publisher.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/platform/instance_list.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

/// Combines gossip with the platform's instance list, which lags behind, and publishes members and
/// freshness in the view.
namespace poplarspool::node {

struct membership_dependencies
{
    instance_id self;
    std::vector<endpoint> seeds;
    milliseconds roundInterval;
    std::function<std::uint64_t()> appliedVersion;
    std::function<mono_time()> confirmedAt;
    /// Called once per iteration, for periodic announcements.
    std::function<void()> onRound;
};

class membership
{
public:
    membership(membership_dependencies dependencies, peer::gossip &gossip,
               platform::instance_list list, view_publisher &views, clock_source clock,
               journal &events);
    ~membership();
    void start();
    void stop();

    /// @returns All members except dead ones and this instance.
    std::vector<policy::member> others() const;
    bool appliedEverywhere(std::uint64_t version);
    /// @returns Whether this instance is one of those in its zone that watch the store.
    bool isWatcher() const;

private:
    void loop();
    void fetchList();
    void publish();
    void recordMembers(const std::vector<policy::member> &present);
    std::vector<departed_member> departed(const std::vector<policy::member> &present) const;

    struct observation
    {
        std::uint64_t appliedVersion = 0;
        mono_time seenAt{};
    };

    membership_dependencies dependencies;
    peer::gossip &gossip;
    platform::instance_list list;
    view_publisher &views;
    clock_source clock;
    journal &events;

    mutable std::mutex guard;
    std::condition_variable wake;
    std::vector<platform::listed_instance> listed;
    std::map<instance_id, observation> lastSeen;
    std::map<std::uint64_t, mono_time> firstQueriedAt; ///< By version: when it was first queried.
    mono_time listFetchedAt{};
    bool hasFetched = false;
    bool wasFresh = false; ///< In the previous iteration; used by the worker thread only.
    bool isStopping = false;
    std::thread worker;
};

} // namespace poplarspool::node
