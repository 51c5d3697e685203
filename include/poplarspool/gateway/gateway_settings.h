#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::gateway {

/// Settings of one gateway instance, read from its TOML file and validated. docs/SETTINGS.md
/// describes each key.
struct gateway_settings
{
    instance_id instance; ///< `instance`
    zone_id zone; ///< `zone`
    endpoint callerAddress; ///< `caller.address`: where callers connect.
    endpoint readinessAddress; ///< `readiness.address`
    endpoint directoryAddress; ///< `directory.address`: where callers query instances' addresses.
    std::chrono::seconds addressKeepTime{2}; ///< `directory.keep_seconds`
    /// `peer.address`: gossip between instances (UDP), and tunnels to runners (TCP).
    endpoint peerAddress;
    /// `peer.key`: secret that authenticates instances; empty: derived from `store.address`.
    std::string peerKey;
    endpoint loadAddress; ///< `peer.load_address`: load updates between instances.
    /// `peer.share_store_news`: instances relay store changes to each other; if false, each
    /// instance watches the store itself.
    bool sharesStoreUpdates = false;
    endpoint metricsAddress; ///< `metrics.address`
    endpoint storeAddress; ///< `store.address`
    /// `store.settle_ms`: time for which updates may be late after the store or the connection to
    /// it has recovered.
    milliseconds settleTime{3000};
    /// `store.runners_ms`, `store.routes_ms`: in normal operation, the time after which a leaving
    /// runner gets no more requests, and the time after which new routes are in force.
    milliseconds runnersBound{2000};
    milliseconds routesBound{2000};
    double retryShare = 0.1; ///< `retries.share`: of the requests, for the whole fleet.
    double retryExtra = 10; ///< `retries.extra`: in addition to the share, for the whole fleet.
    /// `orders.lease_ms`: minimum time between orders of two different instances to engines.
    milliseconds leaseBound{3000};
    endpoint dutyAddress; ///< `duties.address`: the platform's address for calls of one instance.
    std::vector<std::string> dutyKinds; ///< `duties.kinds`: the duties that are enabled.
    double usageWindowSeconds = 5; ///< `duties.usage_window_seconds`: period of one report.
    /// `duties.usage_late_seconds`: time after the end of a window from which its report is late.
    double usageLateSeconds = 10;
    /// `scaling.spot`: spot runners replace regular ones; if false, none are ordered.
    bool usesSpotRunners = true;
    /// `workspaces.strict_revoke`: without a confirmation from the store for
    /// `workspaces.revoke_ms`, all keys are rejected; if false, the last known keys stay valid.
    bool isRevokeStrict = false;
    milliseconds revokeTime{5000};
    /// `load.ranked_waiting`: requests wait at engines by rank, where there are workspaces.
    bool usesRankedWaiting = false;
    /// `load.fair_shares`: workspaces get fair shares of the engines while capacity is short.
    bool usesFairShares = false;
    /// `load.engine_speeds`: the speed of each engine is learnt and used.
    bool learnsEngineSpeeds = false;
    /// `limits.memory_mb`: memory of the process in MiB, from which the platform kills it.
    double memoryMb = config::defaultMemoryMb;
    double leaveSeconds = 8; ///< `leave.seconds`: from SIGTERM to the end of the process.
    std::string logLevel = "info"; ///< `log.level`

    bool operator==(const gateway_settings &) const = default;
};

/// @param bound Time in which a change must be in force.
/// @returns Maximum age of a confirmation that proves that no such change is missing.
inline milliseconds proofTimeOf(milliseconds bound)
{
    return std::chrono::floor<milliseconds>(bound * config::confirmedShare);
}

/// @returns Where instances exchange store updates: the port after peerAddress's. Invalid if store
///          updates are not shared.
inline endpoint updateAddressOf(const gateway_settings &settings)
{
    if (!settings.sharesStoreUpdates || !settings.peerAddress.isValid())
        return {};
    endpoint made = settings.peerAddress;
    ++made.port;
    return made;
}

/// The duties that `duties.kinds` may name.
inline constexpr char usageDuty[] = "accounting";
inline constexpr char fleetDuty[] = "scaling";

/// @returns Whether the duty is enabled and has an address.
inline bool hasDuty(const gateway_settings &settings, std::string_view kind)
{
    return settings.dutyAddress.isValid()
            && std::ranges::find(settings.dutyKinds, kind) != settings.dutyKinds.end();
}

/// @returns Where instances exchange usage updates: two ports after peerAddress's. Invalid if the
///          usage duty is disabled.
inline endpoint usageAddressOf(const gateway_settings &settings)
{
    if (!hasDuty(settings, usageDuty) || !settings.peerAddress.isValid())
        return {};
    endpoint made = settings.peerAddress;
    made.port += 2;
    return made;
}

/// @returns The key with which instances authenticate each other's messages. Without a secret in
///          the settings, it rejects stray messages of other deployments and does not protect
///          against attackers.
std::string peerKeyOf(const gateway_settings &settings);

/// @returns The incarnation of an instance started now. It grows with each start, unless the wall
///          clock is set back in between.
incarnation_number incarnationOf(const clock_source &clock);

} // namespace poplarspool::gateway
