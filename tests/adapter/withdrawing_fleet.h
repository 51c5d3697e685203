#pragma once

#include "adapter/gateway_fleet.h"
#include "adapter/steady_load.h"
#include "adapter/withdrawing_runner.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::adapter::test {

/// Six whole instances, and runners that leave or ask for rest.
struct withdrawing_fleet
{
    static constexpr int instanceCount = 6;

    /// @param stages Of the runners; empty for plain services.
    withdrawing_fleet(std::uint16_t firstPort, const std::string &kind,
                      const std::vector<std::string> &stages)
    {
        const bool isEngine = !stages.front().empty();
        store.put(wire::configKind, wire::configName, routesSpec(kind, isEngine));
        for (const std::string &stage : stages)
            runners.emplace_back(store, "i-" + std::to_string(runners.size()), stage);
        instances = std::make_unique<gateway_fleet>(store, instanceCount, firstPort,
                                                    std::vector<std::string>{"a", "b"},
                                                    std::vector<endpoint>{}, 1000);
        instances->waitUntilAllServe("x", nextPrompt());
        instances->waitUntilAllKnowEachOther();
    }

    fake_store store;
    std::list<withdrawing_runner> runners;
    std::unique_ptr<gateway_fleet> instances;
};

} // namespace poplarspool::adapter::test
