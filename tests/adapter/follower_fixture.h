#pragma once

#include "platform/store_client.h"
#include "platform/store_follower.h"
#include "poplarspool/base/clock.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace poplarspool::adapter::test {

/// The part of an instance that follows the store, without its servers.
struct follower_fixture
{
    explicit follower_fixture(gateway::gateway_settings settings,
                              const clock_source &clock = systemClock())
        : ownSettings(std::move(settings)), events({"test"}, clock, 64),
          client(ownSettings.storeAddress, metrics),
          catalogueUpdater(publisher, ownSettings.settleTime, clock, events),
          follower(ownSettings, client, catalogueUpdater, {[] {}, [this] { ++markerChanges; }},
                   clock, metrics, events)
    { }

    ~follower_fixture()
    {
        client.stop();
        follower.stop();
    }

    gateway::listed_gateway entry() const
    {
        return {ownSettings.instance,
                ownSettings.peerAddress,
                {},
                ownSettings.zone,
                gateway::updateAddressOf(ownSettings),
                {}};
    }

    /// @returns Null if the runner is unknown.
    std::shared_ptr<const gateway::runner> find(const std::string &runner) const
    {
        const auto now = publisher.current();
        return now->runners->find({runner});
    }

    bool hasLogged(const std::string &kind) const { return !events.events({kind, {}, {}}).empty(); }

    const gateway::gateway_settings ownSettings;
    metrics_registry metrics;
    std::atomic<int> markerChanges{0};
    journal events;
    gateway::catalogue_publisher publisher{gateway::catalogue{}};
    store_client client;
    gateway::catalogue_updater catalogueUpdater;
    store_follower follower;
};

inline bool waitUntil(const std::function<bool()> &condition)
{
    using namespace std::chrono_literals;
    for (const auto end = std::chrono::steady_clock::now() + 20s;
         std::chrono::steady_clock::now() < end;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

} // namespace poplarspool::adapter::test
