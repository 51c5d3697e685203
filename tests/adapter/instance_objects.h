#pragma once

#include "adapter/fake_store.h"
#include "adapter/follower_fixture.h"
#include "platform/names.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

/// Instances and the objects by which they know each other.
namespace poplarspool::adapter::test {

inline gateway::gateway_settings settingsFor(const fake_store &store)
{
    gateway::gateway_settings settings;
    settings.instance.text = "edge-1";
    settings.zone.text = "a";
    settings.storeAddress = store.address();
    return settings;
}

/// Settings of a complete instance, with free ports.
inline gateway::gateway_settings completeSettings(const fake_store &store)
{
    const endpoint any{"127.0.0.1", 0};
    gateway::gateway_settings settings = settingsFor(store);
    for (endpoint *each :
         {&settings.callerAddress, &settings.readinessAddress, &settings.directoryAddress,
          &settings.peerAddress, &settings.loadAddress, &settings.metricsAddress})
        *each = any;
    settings.leaveSeconds = 1;
    return settings;
}

inline bool isUsed(const follower_fixture &one, const std::string &runner)
{
    const auto entry = one.find(runner);
    return entry && !entry->isDraining;
}

inline std::vector<gateway::listed_gateway> listInstances(follower_fixture &one)
{
    const auto listed = one.client.list(wire::instanceKind, read_mode::Current);
    CPPUNIT_ASSERT(succeeded(listed));
    refused_objects refused(wire::instanceKind, one.events);
    return decodeAll(valueOf(listed).objects, decodeInstance, refused);
}

/// @returns Whether the object of an instance marks the entry of a runner as outdated.
inline bool doesMarkOutdated(const fake_store &store, const std::string &instance,
                             const std::string &runner)
{
    gateway::gateway_settings reader = settingsFor(store);
    reader.instance.text = "reader";
    follower_fixture one(reader);
    for (const gateway::listed_gateway &each : listInstances(one)) {
        if (each.id.text == instance
            && std::ranges::find(each.outdated, runner_id{runner},
                                 &gateway::outdated_entry_marker::id)
                    != each.outdated.end())
            return true;
    }
    return false;
}

inline void putRunner(fake_store &store, const std::string &name, const std::string &state,
                      int writes)
{
    store.put(wire::runnerKind, name, runnerSpec(state, writes));
}

} // namespace poplarspool::adapter::test
