#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/limits.h"

#include <string>
#include <vector>

namespace poplarspool {

/// Settings of one instance, read from its TOML file and validated. docs/SETTINGS.md describes the
/// keys.
struct settings
{
    instance_id instance; ///< `instance`
    zone_id zone; ///< `zone`
    std::string deployment; ///< `deployment`: prefix of all objects in the store.

    endpoint callerAddress; ///< `caller.address`: address for callers.
    /// `operator.address`: status, event timeline and metrics; not meant for callers.
    endpoint operatorAddress;
    /// `operator.key_sha256`: hex. If empty, requests to operatorAddress need no key.
    std::string operatorKeySha256;
    endpoint peerAddress; ///< `peer.address`: UDP gossip and TCP calls on the same port.
    /// `peer.key`: secret shared by all instances, for the MAC of every message.
    std::string peerKey;
    std::vector<endpoint> peerSeeds; ///< `peer.seeds`: used besides the instance list.

    endpoint storeAddress; ///< `platform.store`: object API.
    endpoint instanceListAddress; ///< `platform.instances`
    endpoint weightStoreAddress; ///< `platform.weights`
    double storeCallsPerSecond = config::storeCallsPerSecond; ///< `platform.calls_per_second`
    double storeCallBurst = config::storeCallBurst; ///< `platform.call_burst`
    milliseconds storeCallTimeout = config::storeCallTimeout; ///< `platform.call_time_ms`

    http_limits callerLimits = defaultHttpLimits(); ///< `caller.limits.*`
    std::uint32_t maxStreams = config::maxCallerConnections; ///< `caller.limits.streams`
    /// `limits.memory_mb`: memory of the process in MiB, from which the platform kills it.
    double memoryMb = config::defaultMemoryMb;
    /// `leave.grace_seconds`; not less than the time for which callers cache addresses.
    milliseconds leaveGraceTime = config::addressKeepTime;
    milliseconds maxLeaveTime = config::maxTimeLimit; ///< `leave.bound_seconds`

    milliseconds gossipInterval = config::gossipInterval; ///< `peer.gossip_ms`
    milliseconds loadPollInterval = config::loadPollInterval; ///< `runner.poll_ms`
    milliseconds planInterval = config::planInterval; ///< `plan.look_ms`
    std::size_t eventRingSize = config::eventRingSize; ///< `log.ring`
    std::string logLevel = "info"; ///< `log.level`
};

} // namespace poplarspool
