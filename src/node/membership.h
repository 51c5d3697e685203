#pragma once

#include "node/freshness.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/node/view_hub.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/platform/instance_list.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

/// Joins gossip with the platform's lagging list, and publishes members and freshness in the view.
namespace poplarspool::node {

struct membership_needs
{
    instance_id self;
    std::vector<endpoint> seeds;
    milliseconds roundTime;
    std::function<std::uint64_t()> appliedVersion;
    std::function<mono_time()> confirmedAt;
    /// Called once a round, for what is to be told regularly.
    std::function<void()> onRound;
};

class membership
{
public:
    membership(membership_needs needs, peer::gossip &talk, platform::instance_list list,
               view_hub &views, clock_source clock, journal &events);
    ~membership();
    void start();
    void stop();

    /// @returns All members but the dead and this instance.
    std::vector<policy::member> others() const;
    bool appliedEverywhere(std::uint64_t version);
    /// @returns Whether this instance is one of those in its zone that watch the store.
    bool isWatcher() const;

private:
    void loop();
    void fetchList();
    void publish();
    void remember(const std::vector<policy::member> &present);
    std::vector<departed_member> departed(const std::vector<policy::member> &present) const;

    struct sighting
    {
        std::uint64_t appliedVersion = 0;
        mono_time seenAt{};
    };

    membership_needs needs;
    peer::gossip &talk;
    platform::instance_list list;
    view_hub &views;
    clock_source clock;
    journal &events;

    mutable std::mutex guard;
    std::condition_variable wake;
    std::vector<platform::listed_instance> listed;
    std::map<instance_id, sighting> sightings;
    std::map<std::uint64_t, mono_time> askedSince; ///< By version, when it was first asked for.
    mono_time listAskedAt{};
    bool hasAsked = false;
    bool wasFresh = false; ///< At the last look; of the worker alone.
    bool isStopping = false;
    std::thread worker;
};

} // namespace poplarspool::node
