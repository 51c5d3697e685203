#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <string>

namespace poplarspool::gateway {

/// Settings of one gateway instance, as read and checked from its TOML file; docs/SETTINGS.md has
/// each key.
struct gateway_settings
{
    instance_id instance; ///< `instance`
    zone_id zone; ///< `zone`
    endpoint callerAddress; ///< `caller.address`: where callers connect.
    endpoint readinessAddress; ///< `readiness.address`
    endpoint directoryAddress; ///< `directory.address`: where callers ask whom to connect to.
    std::chrono::seconds addressKeepTime{2}; ///< `directory.keep_seconds`
    endpoint peerAddress; ///< `peer.address`: gossip between instances.
    endpoint loadAddress; ///< `peer.load_address`: news of load between instances.
    endpoint metricsAddress; ///< `metrics.address`
    endpoint storeAddress; ///< `store.address`
    /// `store.settle_ms`: for which news may be late once the store or the way to it is sound
    /// again.
    milliseconds settleTime{3000};
    /// `store.runners_ms`, `store.routes_ms`: else, by which a runner that leaves is left alone,
    /// and new routes are in force.
    milliseconds runnersBound{2000};
    milliseconds routesBound{2000};
    double retryShare = 0.1; ///< `retries.share`: of the requests, for the whole fleet.
    double retryExtra = 10; ///< `retries.extra`: beside the share, for the whole fleet.
    /// `orders.lease_ms`: time by which orders of two instances to engines are apart at least.
    milliseconds leaseBound{3000};
    double leaveSeconds = 8; ///< `leave.seconds`: from SIGTERM to the end of the process.
    std::string logLevel = "info"; ///< `log.level`

    bool operator==(const gateway_settings &) const = default;
};

} // namespace poplarspool::gateway
