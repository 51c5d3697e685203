#include "gateway/fleet_scaler.h"

#include "poplarspool/duties/limits.h"
#include "poplarspool/scaling/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

fleet_scaler::fleet_scaler(fleet_scaler_dependencies given, duties::lease_store store,
                           instance_id self, milliseconds leaseBound)
    : dependencies(std::move(given)),
      lease(std::move(store), std::move(self), leaseBound, dependencies.clock, dependencies.events),
      accepted(dependencies.metrics.counterOf("poplarspool_fleet_orders_total{end=\"taken\"}")),
      refused(dependencies.metrics.counterOf("poplarspool_fleet_orders_total{end=\"refused\"}")),
      thread("fleet", config::fleetInterval,
             stepFailureReporterOf(dependencies.events, dependencies.metrics),
             [this] { runOnce(); })
{ }

/// The initial size of the fleet is the one to maintain; later sizes are the result of orders and
/// losses. While a fleet starts, its runners register one after the other, so the size is final
/// only once the store confirms that it has not grown for a while. A former holder's record may
/// stem from an earlier moment of the start: each holder settles the sizes by itself. Until then no
/// regular runner is removed, so that those in service still show the size.
void fleet_scaler::updateSizesSettled(const catalogue &known)
{
    const mono_time now = dependencies.clock.mono();
    std::size_t regular = 0;
    known.runners->forEach(
            [&regular](const runner_entry &entry) { regular += entry->isSpot ? 0 : 1; });
    if (regular > maxRegularSeen || changedAt == mono_time{}) {
        maxRegularSeen = regular;
        changedAt = now;
    }
    const bool isQuiet = known.runnersConfirmedAt - changedAt >= config::fleetSettleTime;
    if (areSizesSettled || !isQuiet || targetSizes.empty())
        return;
    areSizesSettled = true;
    reportSizes("");
}

/// @param source Holder whose record the sizes come from; empty: this instance has settled them.
void fleet_scaler::reportSizes(const std::string &source)
{
    std::string sizes;
    for (const auto &[key, size] : targetSizes)
        sizes += (sizes.empty() ? "" : ",") + key.first + "/" + key.second.text + "="
                + std::to_string(size);
    dependencies.events.emit(
            "fleet_sizes",
            {{"source", source}, {"settled", areSizesSettled ? "yes" : "no"}, {"sizes", sizes}});
}

/// @returns Whether the orders placed by previous lease holders are known.
bool fleet_scaler::readCheckpoint()
{
    if (isCheckpointRead)
        return true;
    const auto present = lease.readIfAvailable();
    if (!present)
        return false;
    const auto checkpoint = scaling::decodeFleetCheckpoint(present->checkpoint);
    if (!checkpoint && present->version.revision != 0)
        dependencies.events.emit("fleet_note_unreadable", {{"holder", present->holder.text}});
    if (checkpoint) {
        const mono_time now = dependencies.clock.mono();
        for (const scaling::issued_order &one : checkpoint->issued)
            capacities[{one.service, one.order.zone, one.order.isSpot}] = {
                    .ordered = one.order.wanted, .orderedAt = now};
        for (const scaling::issued_order &one : checkpoint->sizes)
            targetSizes[{one.service, one.order.zone}] = one.order.wanted;
        reportSizes(present->holder.text);
    }
    isCheckpointRead = true;
    return true;
}

/// Another instance owns the duty now, and its record is what counts.
void fleet_scaler::forget()
{
    isCheckpointRead = areSizesSettled = false;
    maxRegularSeen = 0;
    changedAt = {};
    capacities.clear();
    targetSizes.clear();
}

void fleet_scaler::runOnce()
{
    const auto known = dependencies.publisher.current();
    if (!known->table || !known->areRunnersKnown || !dependencies.isOwner()) {
        forget();
        return;
    }
    const auto canScale = [](const service &one) { return one.scaling.has_value(); };
    const mono_time now = dependencies.clock.mono();
    if (!std::ranges::any_of(known->table->services, canScale) || now < nextAttemptAt)
        return;
    if (!readCheckpoint()) {
        nextAttemptAt = now + config::dutyRetryInterval;
        return;
    }
    updateSizesSettled(*known);
    const std::vector<scaling::issued_order> orders = planAll(*known);
    if (orders.empty())
        return;
    nextAttemptAt = now + config::dutyRetryInterval;
    const auto present = lease.readIfAvailable();
    if (!present)
        return;
    const auto term = lease.acquire(*present, scaling::encode(checkpointWith(orders)));
    if (!term)
        return;
    for (const scaling::issued_order &one : orders)
        placeOrder(one, *term);
}

std::vector<scaling::zone_fleet> fleet_scaler::zonesOf(const catalogue &known, const service &one)
{
    std::map<zone_id, scaling::zone_fleet> zones;
    known.runners->forEach([&](const runner_entry &entry) {
        const runner &target = *entry;
        if (target.service != one.id || target.isDraining
            || target.retainedUntil != mono_time::max())
            return;
        scaling::zone_fleet &zone = zones[target.zone];
        ++(target.isSpot ? zone.spot : zone.regular);
    });
    // Include zones that have lost all runners.
    for (const auto &entry : targetSizes) {
        if (entry.first.first == one.id.text)
            zones[entry.first.second];
    }
    std::vector<scaling::zone_fleet> found;
    for (auto &[id, zone] : zones) {
        zone.zone = id;
        const auto [entry, isNew] = targetSizes.try_emplace({one.id.text, id}, 0);
        std::uint32_t &size = entry->second;
        if (isNew) {
            size = scaling::sizeInService(*one.scaling, zone, zones.size());
            areSizesSettled = false;
            changedAt = dependencies.clock.mono();
        } else if (!areSizesSettled) {
            size = std::max(size, zone.regular);
        }
        zone.size = size;
        zone.isSizeFinal = areSizesSettled;
        expireUnfilledOrders(*one.scaling, one.id.text, zone);
        const capacity_state &spot = capacities[{one.id.text, id, true}];
        zone.regularOrdered = capacities[{one.id.text, id, false}].ordered;
        zone.spotOrdered = spot.ordered;
        zone.isSpotUnavailable = dependencies.clock.mono() < spot.noCapacityUntil;
        found.push_back(zone);
    }
    return found;
}

/// Discards orders whose runners are missing, so that they are ordered again: the order was lost,
/// or the runners were reclaimed.
void fleet_scaler::expireUnfilledOrders(const scaling::fleet_traits &traits,
                                        const std::string &service, const scaling::zone_fleet &zone)
{
    const mono_time now = dependencies.clock.mono();
    const milliseconds timeout = traits.bootTime + config::fleetOrderTimeout;
    for (const bool isSpot : {false, true}) {
        capacity_state &state = capacities[{service, zone.zone, isSpot}];
        const std::uint32_t present = isSpot ? zone.spot : zone.regular;
        if (!state.ordered)
            continue;
        if (present >= *state.ordered)
            state.wasFilled = true;
        else if (state.wasFilled || now - state.orderedAt >= timeout)
            state = {.noCapacityUntil = state.noCapacityUntil};
    }
}

std::vector<scaling::issued_order> fleet_scaler::planAll(const catalogue &known)
{
    std::vector<scaling::issued_order> orders;
    for (const service &one : known.table->services) {
        if (!one.scaling)
            continue;
        for (const scaling::fleet_order &each :
             scaling::planFleet(*one.scaling, zonesOf(known, one)))
            orders.push_back({one.id.text, each});
    }
    return orders;
}

/// Includes the orders that are about to be placed: the next lease holder must not assume that less
/// was ordered.
scaling::fleet_checkpoint
fleet_scaler::checkpointWith(const std::vector<scaling::issued_order> &orders) const
{
    auto all = capacities;
    for (const scaling::issued_order &one : orders)
        all[{one.service, one.order.zone, one.order.isSpot}].ordered = one.order.wanted;
    scaling::fleet_checkpoint checkpoint;
    for (const auto &[key, state] : all) {
        if (state.ordered)
            checkpoint.issued.push_back(
                    {std::get<0>(key), {std::get<1>(key), std::get<2>(key), *state.ordered}});
    }
    for (const auto &[key, size] : targetSizes)
        checkpoint.sizes.push_back({key.first, {key.second, false, size}});
    return checkpoint;
}

void fleet_scaler::placeOrder(const scaling::issued_order &order, const duties::lease_term &term)
{
    const auto placed = dependencies.sink.placeOrder(order, term);
    capacity_state &state = capacities[{order.service, order.order.zone, order.order.isSpot}];
    const mono_time now = dependencies.clock.mono();
    if (succeeded(placed))
        state = {.ordered = order.order.wanted, .orderedAt = now};
    else if (errorOf(placed).code == error_code::Conflict)
        state.noCapacityUntil = now + config::capacityBackoffTime;
    (succeeded(placed) ? accepted : refused).add();
    dependencies.events.emit("fleet_order",
                             {{"service", order.service},
                              {"zone", order.order.zone.text},
                              {"spot", order.order.isSpot ? "yes" : "no"},
                              {"wanted", std::to_string(order.order.wanted)},
                              {"fence", std::to_string(term.fence)},
                              {"fault", succeeded(placed) ? "" : errorOf(placed).message}});
}

} // namespace poplarspool::gateway
