#pragma once

#include "adapter/fake_store.h"
#include "adapter/follower_fixture.h"

#include <cppunit/TestAssert.h>
#include <memory>

namespace poplarspool::adapter::test {

inline gateway::gateway_settings settingsFor(const fake_store &store, const std::string &name,
                                             std::uint16_t port)
{
    gateway::gateway_settings settings;
    settings.instance.text = name;
    settings.zone.text = "a";
    settings.peerAddress = {"127.0.0.1", port};
    settings.sharesStoreUpdates = true;
    settings.storeAddress = store.address();
    return settings;
}

inline bool hasState(const follower_fixture &one, std::uint64_t version, bool isDraining)
{
    const auto table = one.publisher.current()->table;
    const auto runner = one.find("i-1");
    return table && table->version == version && runner && runner->isDraining == isDraining;
}

/// Two instances that send each other store updates, on loopback ports. Busy ports are skipped.
struct follower_pair
{
    using settings_change = std::function<void(gateway::gateway_settings &)>;

    /// @param change Applied to the settings of both.
    explicit follower_pair(
            const fake_store &store,
            const settings_change &change = [](gateway::gateway_settings &) {})
    {
        for (std::uint16_t port = 21400; port < 23000 && !isStarted; port += 4) {
            one = std::make_unique<follower_fixture>(
                    changed(settingsFor(store, "edge-1", port), change));
            two = std::make_unique<follower_fixture>(
                    changed(settingsFor(store, "edge-2", port + 2), change));
            isStarted = succeeded(one->follower.start()) && succeeded(two->follower.start());
        }
        CPPUNIT_ASSERT(isStarted);
        one->follower.setInstances({one->entry(), two->entry()});
        two->follower.setInstances({one->entry(), two->entry()});
    }

    static gateway::gateway_settings changed(gateway::gateway_settings settings,
                                             const settings_change &change)
    {
        change(settings);
        return settings;
    }

    std::size_t followedByOthersCount() const
    {
        return one->events.events({"store_followed_by_others", {}, {}}).size()
                + two->events.events({"store_followed_by_others", {}, {}}).size();
    }

    bool bothHave(std::uint64_t version, bool isDraining) const
    {
        return hasState(*one, version, isDraining) && hasState(*two, version, isDraining);
    }

    std::unique_ptr<follower_fixture> one;
    std::unique_ptr<follower_fixture> two;
    bool isStarted = false;
};

} // namespace poplarspool::adapter::test
