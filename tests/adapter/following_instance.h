#pragma once

#include "platform/store_client.h"
#include "platform/store_follower.h"
#include "poplarspool/base/clock.h"

#include <functional>
#include <string>
#include <thread>

namespace poplarspool::adapter::test {

/// What one instance has of the store.
struct following_instance
{
    explicit following_instance(gateway::gateway_settings settings,
                                const clock_source &clock = systemClock())
        : choices(std::move(settings)), events({"test"}, clock, 64),
          client(choices.storeAddress, metrics), keeper(hub, choices.settleTime, clock, events),
          follower(
                  choices, client, keeper, [] {}, clock, metrics, events)
    { }

    ~following_instance()
    {
        client.stop();
        follower.stop();
    }

    gateway::listed_gateway entry() const
    {
        return {choices.instance,
                choices.peerAddress,
                {},
                choices.zone,
                gateway::newsAddressOf(choices),
                {}};
    }

    /// @returns Null where it isn't known.
    std::shared_ptr<const gateway::runner> find(const std::string &runner) const
    {
        const auto now = hub.current();
        const auto found = now->runners.find({runner});
        return found == now->runners.end() ? nullptr : found->second;
    }

    bool hasLogged(const std::string &kind) const { return !events.events({kind, {}, {}}).empty(); }

    const gateway::gateway_settings choices;
    metrics_registry metrics;
    journal events;
    gateway::catalogue_hub hub{gateway::catalogue{}};
    store_client client;
    gateway::catalogue_keeper keeper;
    store_follower follower;
};

inline bool waitUntil(const std::function<bool()> &holds)
{
    using namespace std::chrono_literals;
    for (const auto end = std::chrono::steady_clock::now() + 20s;
         std::chrono::steady_clock::now() < end;) {
        if (holds())
            return true;
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

} // namespace poplarspool::adapter::test
