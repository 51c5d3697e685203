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

/// Another instance, as registered in the store.
struct listed_gateway
{
    instance_id id;
    endpoint peerAddress; ///< Gossip.
    endpoint loadAddress; ///< Load updates.
    zone_id zone;
    endpoint newsAddress; ///< Store updates; invalid if the instance receives none.
    /// Runners that it knew to have left at the time of a store rollback.
    std::vector<entry_mark> outdated;

    bool operator==(const listed_gateway &) const = default;
};

/// Services of the platform that a gateway uses.
struct platform_links
{
    duties::lease_store stages; ///< For the right to order engines.
    suspect_store suspects; ///< Store of the crash records.
    duties::lease_store usage; ///< For the right to report usage.
    duties::usage_sink usageSink;
    duties::lease_store fleet; ///< For the right to order runners.
    fleet_sink fleetSink;
};

/// One instance that forwards requests. Routes and runners are supplied through
/// `catalogueUpdater()` by the code that watches the platform's store.
class gateway
{
public:
    /// @param names Headers and formats that callers and runners use.
    gateway(gateway_settings settings, dialect names, platform_links links, clock_source clock,
            metrics_registry &metrics, journal &events);
    ~gateway();

    /// Binds the callers' address and starts the communication with other instances.
    result<unit> start();

    catalogue_keeper &keeper();
    /// Sets the instances that the store lists. They are contacted until they answer.
    void setListed(const std::vector<listed_gateway> &listed);

    /// Called after a store rollback.
    void noteOlderCopy();

    /// @returns Whether callers may be sent here: routes and runners are known, and the instance
    ///          is not leaving.
    bool isReady() const;
    /// @returns Addresses of instances for a caller. They include this instance unless it is
    ///          leaving.
    std::vector<endpoint> addressesFor(const zone_id &callerZone) const;

    /// Begins a graceful shutdown: new callers are no longer accepted, and replies announce that
    /// their connections close.
    void leave();
    /// Serves the open requests to their end, at most for `leave.seconds`, then stops.
    void finish();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::gateway
