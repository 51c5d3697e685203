#pragma once

#include "poplarspool/base/metrics.h"
#include "poplarspool/base/periodic_thread.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/fleet_sink.h"
#include "poplarspool/scaling/fleet_plan.h"

#include <map>
#include <tuple>

namespace poplarspool::gateway {

/// What the fleet scaler needs from its instance.
struct fleet_scaler_dependencies
{
    const catalogue_publisher &publisher;
    const fleet_sink sink;
    const clock_source clock;
    journal &events;
    metrics_registry &metrics;
    /// Whether this instance is responsible. For a short time, this may be true on two instances;
    /// the lease ensures that only one of them acts.
    std::function<bool()> isOwner;
};

/// Periodically plans the runners of all scalable services and orders them from the platform, on a
/// thread of its own.
class fleet_scaler
{
public:
    fleet_scaler(fleet_scaler_dependencies given, duties::lease_store store, instance_id self,
                 milliseconds leaseBound);

    void start() { thread.start(); }
    void requestStop() { thread.requestStop(); }
    void stop() { thread.stop(); }

    /// Runs one iteration: plans, and places the resulting orders. Called by the scaler's thread
    /// and by tests.
    void runOnce();

private:
    /// Service, zone, and whether it is spot capacity.
    using capacity_key = std::tuple<std::string, zone_id, bool>;

    /// The last order of one kind of capacity in one zone for one service.
    struct capacity_state
    {
        std::optional<std::uint32_t> ordered = {};
        mono_time orderedAt{};
        bool wasFilled = false; ///< All ordered runners have been in service.
        mono_time noCapacityUntil{}; ///< The platform has no capacity; no orders until then.
    };

    void forget();
    void updateSizesSettled(const catalogue &known);
    void reportSizes(const std::string &source);
    bool readCheckpoint();
    std::vector<scaling::zone_fleet> zonesOf(const catalogue &known, const service &one);
    std::vector<scaling::issued_order> planAll(const catalogue &known);
    void expireUnfilledOrders(const scaling::fleet_traits &traits, const std::string &service,
                              const scaling::zone_fleet &zone);
    void placeOrder(const scaling::issued_order &order, const duties::lease_term &term);
    scaling::fleet_checkpoint
    checkpointWith(const std::vector<scaling::issued_order> &orders) const;

    const fleet_scaler_dependencies dependencies;
    duties::duty_lease lease;
    counter &accepted; ///< Orders that the platform accepted.
    counter &refused; ///< All others: refused, not sent, or of unknown outcome.
    bool isCheckpointRead = false;
    std::map<capacity_key, capacity_state> capacities;
    /// Target sizes, by service and zone.
    std::map<std::pair<std::string, zone_id>, std::uint32_t> targetSizes;
    /// If false, the fleet may still be starting: sizes grow, and no regular runner is removed.
    bool areSizesSettled = false;
    std::size_t maxRegularSeen = 0;
    mono_time changedAt{}; ///< When the maximum number of regular runners last grew.
    mono_time nextAttemptAt{};
    periodic_thread thread; ///< Declared last: stops before the members it uses are destroyed.
};

} // namespace poplarspool::gateway
