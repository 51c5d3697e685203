#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/duties/usage_keeper.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/catalogue_keeper.h"
#include "poplarspool/gateway/dialect.h"
#include "poplarspool/gateway/fleet_sink.h"
#include "poplarspool/gateway/gateway_settings.h"
#include "poplarspool/gateway/suspects.h"

#include <memory>
#include <string>
#include <vector>

namespace poplarspool::gateway {

/// Another instance, as it entered itself in the store.
struct listed_gateway
{
    instance_id id;
    endpoint peerAddress; ///< Gossip.
    endpoint loadAddress; ///< News of load.
    zone_id zone;
    endpoint newsAddress; ///< News of the store; invalid: it takes none.
    /// Runners that it knew to have left when the store came back from an older copy.
    std::vector<entry_mark> outdated;

    bool operator==(const listed_gateway &) const = default;
};

/// What the platform does for a gateway.
struct platform_links
{
    duties::lease_store stages; ///< Who orders engines.
    suspect_store suspects; ///< Requests under which runners ended.
    duties::lease_store usage; ///< Who reports usage.
    duties::usage_sink usageSink;
    duties::lease_store fleet; ///< Who orders runners.
    fleet_sink fleetSink;
};

/// One instance that passes requests on. It gets its knowledge of routes and runners from whoever
/// follows the platform's store, through `keeper()`.
class gateway
{
public:
    /// @param names How callers and runners name things.
    gateway(gateway_settings choices, dialect names, platform_links links, clock_source clock,
            metrics_registry &metrics, journal &events);
    ~gateway();

    /// Binds the callers' address and begins to talk to other instances.
    result<unit> start();

    catalogue_keeper &keeper();
    /// Instances that the store lists; asked until they answer.
    void setListed(const std::vector<listed_gateway> &listed);

    /// The store has come back from an older copy.
    void noteOlderCopy();

    /// @returns Whether callers may be sent here: routes and runners are known, and it stays.
    bool isReady() const;
    /// @returns Instances to give to a caller, this one among them unless it is leaving.
    std::vector<endpoint> addressesFor(const zone_id &callerZone) const;

    /// Begins a graceful end: no new callers, replies say that their connections close.
    void leave();
    /// Serves until what was begun is done, at most for the settings' time to leave.
    void finish();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::gateway
