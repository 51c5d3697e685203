#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

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
    bool sharesStoreNews = false; ///< `peer.share_store_news`: else each follows it by itself.
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
    endpoint dutyAddress; ///< `duties.address`: of the platform, for calls of one instance.
    std::vector<std::string> dutyKinds; ///< `duties.kinds`: which of them are wanted.
    double usageWindowSeconds = 5; ///< `duties.usage_window_seconds`: that one report is about.
    double usageLateSeconds = 10; ///< `duties.usage_late_seconds`: after the window's end.
    /// `scaling.spot`: spot runners take the place of regular ones; else none are ordered.
    bool ordersSpot = true;
    /// `workspaces.strict_revoke`: without the store's word for `workspaces.revoke_ms`, no key is
    /// good any more; else the last ones that were known are.
    bool isRevokeStrict = false;
    milliseconds revokeTime{5000};
    double leaveSeconds = 8; ///< `leave.seconds`: from SIGTERM to the end of the process.
    std::string logLevel = "info"; ///< `log.level`

    bool operator==(const gateway_settings &) const = default;
};

/// @returns Where news of the store are told between instances: the port after peerAddress's.
///          Invalid where they aren't.
inline endpoint newsAddressOf(const gateway_settings &choices)
{
    if (!choices.sharesStoreNews || !choices.peerAddress.isValid())
        return {};
    endpoint made = choices.peerAddress;
    ++made.port;
    return made;
}

/// The duties that `duties.kinds` may name.
inline constexpr char usageDuty[] = "accounting";
inline constexpr char fleetDuty[] = "scaling";

/// @returns Whether this deployment wants the duty, and says where to.
inline bool hasDuty(const gateway_settings &choices, std::string_view kind)
{
    return choices.dutyAddress.isValid()
            && std::ranges::find(choices.dutyKinds, kind) != choices.dutyKinds.end();
}

/// @returns Where usage is told between instances: two ports after peerAddress's. Invalid where it
///          isn't.
inline endpoint usageAddressOf(const gateway_settings &choices)
{
    if (!hasDuty(choices, usageDuty) || !choices.peerAddress.isValid())
        return {};
    endpoint made = choices.peerAddress;
    made.port += 2;
    return made;
}

/// @returns What instances authenticate each other's datagrams with. The platform hands out no
///          secret; its network is the users' own. The key keeps out strays of other deployments,
///          not attackers.
std::string peerKeyOf(const gateway_settings &choices);

/// @returns A number that grows with each start of an instance, unless the time of day jumps back
///          meanwhile.
incarnation lifeOf(const clock_source &clock);

} // namespace poplarspool::gateway
