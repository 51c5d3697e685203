#pragma once

#include "poplarspool/base/look_thread.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/fleet_sink.h"
#include "poplarspool/scaling/fleet_plan.h"

#include <map>
#include <tuple>

namespace poplarspool::gateway {

/// What the keeper works with.
struct fleet_tools
{
    const catalogue_hub &hub;
    const fleet_sink sink;
    const clock_source clock;
    journal &events;
    metrics_registry &metrics;
    /// Whether the duty falls on this instance. Two may think so: the lease keeps them apart.
    std::function<bool()> isOwner;
};

/// Orders the runners of services that can be scaled, as planned, on a thread of its own.
class fleet_keeper
{
public:
    fleet_keeper(fleet_tools tools, duties::lease_store store, instance_id self,
                 milliseconds leaseBound);

    void start() { thread.start(); }
    void requestStop() { thread.requestStop(); }
    void stop() { thread.stop(); }

    /// One look, and the orders that follow from it. Of the keeper's thread, and of tests.
    void look();

private:
    /// Service, zone, and whether of the spot kind.
    using subject = std::tuple<std::string, zone_id, bool>;

    /// What is known of the runners of one service, zone and kind.
    struct subject_state
    {
        std::optional<std::uint32_t> ordered = {};
        mono_time orderedAt{};
        bool wereThere = false; ///< All that were ordered have been in service.
        mono_time dryUntil{}; ///< None are to be had until then.
    };

    void noteRegular(const catalogue &known);
    bool readNote();
    std::vector<scaling::zone_fleet> zonesOf(const catalogue &known, const service &one);
    std::vector<scaling::given_order> planAll(const catalogue &known);
    void noteMissing(const scaling::fleet_traits &traits, const std::string &service,
                     const scaling::zone_fleet &zone);
    void give(const scaling::given_order &order, const duties::lease_term &term);
    scaling::fleet_note noteWith(const std::vector<scaling::given_order> &orders) const;

    const fleet_tools tools;
    duties::duty_lease lease;
    counter &given;
    counter &refused;
    bool isNoteRead = false;
    std::map<subject, subject_state> subjects;
    std::map<std::pair<std::string, zone_id>, std::uint32_t> sizes; ///< Wanted, by service, zone.
    bool areSizesSettled = false; ///< Else the fleet is still starting, and they may grow.
    std::size_t regularSeen = 0;
    mono_time changedAt{}; ///< When the number of regular runners last changed.
    mono_time nextTryAt{};
    look_thread thread; ///< Ends before what it looks at.
};

} // namespace poplarspool::gateway
