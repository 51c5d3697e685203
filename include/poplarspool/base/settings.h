#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/config.h"

#include <string>
#include <vector>

namespace poplarspool {

/// Settings of one instance, as read and checked from its TOML file; docs/SETTINGS.md has each key.
struct settings
{
    instance_id instance; ///< `instance`
    zone_id zone; ///< `zone`
    std::string deployment; ///< `deployment`: prefix of all its objects in the store.

    endpoint callerAddress; ///< `caller.address`: where callers connect.
    endpoint
            operatorAddress; ///< `operator.address`: status, time line, metrics; never for callers.
    std::string operatorKeySha256; ///< `operator.key_sha256`: hex; empty lets everyone in.
    endpoint peerAddress; ///< `peer.address`: UDP gossip and TCP calls, same port.
    std::string peerKey; ///< `peer.key`: secret of all instances; MAC of every message.
    std::vector<endpoint> peerSeeds; ///< `peer.seeds`: asked besides the instance list.

    endpoint storeAddress; ///< `platform.store`: object API.
    endpoint instanceListAddress; ///< `platform.instances`
    endpoint weightStoreAddress; ///< `platform.weights`
    double storeCallsPerSecond = config::storeCallsPerSecond; ///< `platform.calls_per_second`
    double storeCallBurst = config::storeCallBurst; ///< `platform.call_burst`
    milliseconds storeCallTime = config::storeCallTime; ///< `platform.call_time_ms`

    http_limits callerLimits = defaultHttpLimits(); ///< `caller.limits.*`
    std::uint32_t maxStreams = config::maxCallerConnections; ///< `caller.limits.streams`
    milliseconds leaveGrace = config::addressKeepTime; ///< `leave.grace_seconds`, at least keep.
    milliseconds leaveBound = config::maxTimeLimit; ///< `leave.bound_seconds`

    milliseconds gossipTime = config::gossipTime; ///< `peer.gossip_ms`
    milliseconds loadPollTime = config::loadPollTime; ///< `runner.poll_ms`
    milliseconds planTime = config::planTime; ///< `plan.look_ms`
    std::size_t eventRingSize = config::eventRingSize; ///< `log.ring`
    std::string logLevel = "info"; ///< `log.level`
};

} // namespace poplarspool
