#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/crashes/crash_records.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/duties/usage_reporter.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/catalogue_updater.h"
#include "poplarspool/gateway/dialect.h"
#include "poplarspool/gateway/fleet_sink.h"
#include "poplarspool/gateway/gateway_settings.h"
#include "poplarspool/gateway/listed_gateway.h"

#include <memory>
#include <string>
#include <vector>

namespace poplarspool::gateway {

/// Services of the platform that a gateway uses.
struct platform_links
{
    duties::lease_store stageLeases; ///< For the right to order engines.
    crashes::crash_record_store crashRecords; ///< Store of the crash records.
    duties::lease_store usageLeases; ///< For the right to report usage.
    duties::usage_sink usageSink;
    duties::lease_store fleetLeases; ///< For the right to order runners.
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

    catalogue_updater &catalogueUpdater();
    /// Sets the instances that the store lists. They are contacted until they answer.
    void setInstances(const std::vector<listed_gateway> &listed);

    /// Called after a store rollback.
    void recordStoreRollback();

    /// Updates the metrics that are measured only when they are read.
    void updateMetrics();

    /// @returns Whether callers may be sent here: routes and runners are known, and the instance is
    ///          not leaving.
    bool isReady() const;
    /// @returns Addresses of instances for a caller. They include this instance unless it is
    ///          leaving.
    std::vector<endpoint> addressesFor(const zone_id &callerZone) const;

    /// Begins a graceful shutdown: new callers are no longer accepted, and replies announce that
    /// their connections close.
    void leave();
    /// Completes the open requests, for at most `leave.seconds`, then stops.
    void finish();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::gateway
