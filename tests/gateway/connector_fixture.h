#pragma once

#include "gateway/runner_connector.h"

namespace poplarspool::gateway::test {

/// A connector of an instance without peers.
struct connector_fixture
{
    connector_fixture(clock_source clock, metrics_registry &registry, journal &events)
        : direct(4, std::chrono::milliseconds(500), registry), links(clock), cutOff(clock),
          connector({{{"test"}, 1, peer::deriveFrameKey("key")},
                     {"z"},
                     direct,
                     links,
                     cutOff,
                     [this] { return members; },
                     [] {},
                     clock,
                     registry,
                     events})
    { }

    connection_pool direct;
    link_table links;
    cut_off_instances cutOff;
    std::vector<policy::member> members; ///< May carry tunnels.
    runner_connector connector;
};

} // namespace poplarspool::gateway::test
