#pragma once

#include "adapter/following_instance.h"
#include "adapter/small_store.h"

#include <cppunit/TestAssert.h>
#include <memory>

namespace poplarspool::adapter::test {

inline gateway::gateway_settings settingsFor(const small_store &store, const std::string &name,
                                             std::uint16_t port)
{
    gateway::gateway_settings made;
    made.instance.text = name;
    made.zone.text = "a";
    made.peerAddress = {"127.0.0.1", port};
    made.sharesStoreNews = true;
    made.storeAddress = store.at();
    return made;
}

inline bool knows(const following_instance &one, std::uint64_t version, bool isDraining)
{
    const auto table = one.hub.current()->table;
    const auto runner = one.find("i-1");
    return table && table->version == version && runner && runner->isDraining == isDraining;
}

/// Two instances that tell each other. Ports are free on loopback in turns, so that a busy one is
/// passed over.
struct pair_of_instances
{
    using choice = std::function<void(gateway::gateway_settings &)>;

    /// @param choose Changes the settings of both.
    explicit pair_of_instances(
            const small_store &store, const choice &choose = [](gateway::gateway_settings &) {})
    {
        for (std::uint16_t port = 21400; port < 23000 && !isStarted; port += 4) {
            one = std::make_unique<following_instance>(
                    chosen(settingsFor(store, "edge-1", port), choose));
            two = std::make_unique<following_instance>(
                    chosen(settingsFor(store, "edge-2", port + 2), choose));
            isStarted = succeeded(one->follower.start()) && succeeded(two->follower.start());
        }
        CPPUNIT_ASSERT(isStarted);
        one->follower.setListed({one->entry(), two->entry()});
        two->follower.setListed({one->entry(), two->entry()});
    }

    static gateway::gateway_settings chosen(gateway::gateway_settings made, const choice &choose)
    {
        choose(made);
        return made;
    }

    std::size_t followedByOthers() const
    {
        return one->events.events({"store_followed_by_others", {}, {}}).size()
                + two->events.events({"store_followed_by_others", {}, {}}).size();
    }

    bool bothKnow(std::uint64_t version, bool isDraining) const
    {
        return knows(*one, version, isDraining) && knows(*two, version, isDraining);
    }

    std::unique_ptr<following_instance> one;
    std::unique_ptr<following_instance> two;
    bool isStarted = false;
};

} // namespace poplarspool::adapter::test
