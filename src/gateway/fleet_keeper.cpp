#include "gateway/fleet_keeper.h"

#include "poplarspool/duties/limits.h"
#include "poplarspool/scaling/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

fleet_keeper::fleet_keeper(fleet_tools given, duties::lease_store store, instance_id self,
                           milliseconds leaseBound)
    : tools(std::move(given)),
      lease(std::move(store), std::move(self), leaseBound, tools.clock, tools.events),
      given(tools.metrics.counterOf("poplarspool_fleet_orders_total{end=\"taken\"}")),
      refused(tools.metrics.counterOf("poplarspool_fleet_orders_total{end=\"refused\"}")),
      thread("fleet", config::fleetLookTime, stepFaultsOf(tools.events, tools.metrics),
             [this] { look(); })
{ }

/// The fleet's first size is the one to hold; what it is later, orders and losses have made of it.
/// While a fleet starts, its runners enter themselves one after the other.
void fleet_keeper::noteRegular(const catalogue &known)
{
    const mono_time now = tools.clock.mono();
    const auto regular = static_cast<std::size_t>(std::ranges::count_if(
            known.runners, [](const auto &entry) { return !entry.second->isSpot; }));
    if (regular > regularSeen || changedAt == mono_time{}) {
        regularSeen = regular;
        changedAt = now;
    }
    if (now - changedAt >= config::fleetSettleTime && !sizes.empty())
        areSizesSettled = true;
}

/// @returns Whether it is known what was ordered by now.
bool fleet_keeper::readNote()
{
    if (isNoteRead)
        return true;
    const auto present = lease.findFree();
    if (!present)
        return false;
    const auto note = scaling::decodeFleetNote(present->note);
    if (!note && present->version.revision != 0)
        tools.events.emit("fleet_note_unreadable", {{"holder", present->holder.text}});
    if (note) {
        const mono_time now = tools.clock.mono();
        for (const scaling::given_order &one : note->given)
            subjects[{one.service, one.order.zone, one.order.isSpot}] = {
                    .ordered = one.order.wanted, .orderedAt = now};
        for (const scaling::given_order &one : note->sizes)
            sizes[{one.service, one.order.zone}] = one.order.wanted;
        areSizesSettled = !sizes.empty();
    }
    isNoteRead = true;
    return true;
}

void fleet_keeper::look()
{
    const auto known = tools.hub.current();
    if (!known->table || !known->areRunnersKnown || !tools.isOwner()) {
        isNoteRead = areSizesSettled = false;
        subjects.clear();
        sizes.clear();
        return;
    }
    const auto canScale = [](const service &one) { return one.scaling.has_value(); };
    const mono_time now = tools.clock.mono();
    if (!std::ranges::any_of(known->table->services, canScale) || now < nextTryAt)
        return;
    if (!readNote()) {
        nextTryAt = now + config::dutyTryPause;
        return;
    }
    noteRegular(*known);
    const std::vector<scaling::given_order> orders = planAll(*known);
    if (orders.empty())
        return;
    nextTryAt = now + config::dutyTryPause;
    const auto present = lease.findFree();
    if (!present)
        return;
    const auto term = lease.take(*present, scaling::encode(noteWith(orders)));
    if (!term)
        return;
    for (const scaling::given_order &one : orders)
        give(one, *term);
}

std::vector<scaling::zone_fleet> fleet_keeper::zonesOf(const catalogue &known, const service &one)
{
    std::map<zone_id, scaling::zone_fleet> zones;
    for (const auto &entry : known.runners) {
        const runner &target = *entry.second;
        if (target.service != one.id || target.isDraining || target.keptUntil != mono_time::max())
            continue;
        scaling::zone_fleet &zone = zones[target.zone];
        ++(target.isSpot ? zone.spot : zone.regular);
    }
    // Also those where all are gone.
    for (const auto &entry : sizes) {
        if (entry.first.first == one.id.text)
            zones[entry.first.second];
    }
    std::vector<scaling::zone_fleet> found;
    for (auto &[id, zone] : zones) {
        zone.zone = id;
        std::uint32_t &size = sizes[{one.id.text, id}];
        if (!areSizesSettled)
            size = std::max(size, zone.regular);
        zone.size = size;
        noteMissing(*one.scaling, one.id.text, zone);
        const subject_state &spot = subjects[{one.id.text, id, true}];
        zone.regularOrdered = subjects[{one.id.text, id, false}].ordered;
        zone.spotOrdered = spot.ordered;
        zone.isSpotDry = tools.clock.mono() < spot.dryUntil;
        found.push_back(zone);
    }
    return found;
}

/// Runners that were ordered and aren't there: the order was lost, or they were taken away.
void fleet_keeper::noteMissing(const scaling::fleet_traits &traits, const std::string &service,
                               const scaling::zone_fleet &zone)
{
    const mono_time now = tools.clock.mono();
    const milliseconds patience = traits.bootTime + config::fleetPatience;
    for (const bool isSpot : {false, true}) {
        subject_state &state = subjects[{service, zone.zone, isSpot}];
        const std::uint32_t present = isSpot ? zone.spot : zone.regular;
        if (!state.ordered)
            continue;
        if (present >= *state.ordered)
            state.wereThere = true;
        else if (state.wereThere || now - state.orderedAt >= patience)
            state = {.dryUntil = state.dryUntil};
    }
}

std::vector<scaling::given_order> fleet_keeper::planAll(const catalogue &known)
{
    std::vector<scaling::given_order> orders;
    for (const service &one : known.table->services) {
        if (!one.scaling)
            continue;
        for (const scaling::fleet_order &each :
             scaling::planFleet(*one.scaling, zonesOf(known, one)))
            orders.push_back({one.id.text, each});
    }
    return orders;
}

/// With what is about to be ordered: a successor must not think that less was.
scaling::fleet_note fleet_keeper::noteWith(const std::vector<scaling::given_order> &orders) const
{
    auto all = subjects;
    for (const scaling::given_order &one : orders)
        all[{one.service, one.order.zone, one.order.isSpot}].ordered = one.order.wanted;
    scaling::fleet_note note;
    for (const auto &[about, state] : all) {
        if (state.ordered)
            note.given.push_back(
                    {std::get<0>(about), {std::get<1>(about), std::get<2>(about), *state.ordered}});
    }
    for (const auto &[place, size] : sizes)
        note.sizes.push_back({place.first, {place.second, false, size}});
    return note;
}

void fleet_keeper::give(const scaling::given_order &order, const duties::lease_term &term)
{
    const auto taken = tools.sink.give(order, term);
    subject_state &state = subjects[{order.service, order.order.zone, order.order.isSpot}];
    const mono_time now = tools.clock.mono();
    if (succeeded(taken))
        state = {.ordered = order.order.wanted, .orderedAt = now};
    else if (errorOf(taken).code == error_code::Conflict)
        state.dryUntil = now + config::fleetDryTime;
    (succeeded(taken) ? given : refused).add();
    tools.events.emit("fleet_order",
                      {{"service", order.service},
                       {"zone", order.order.zone.text},
                       {"spot", order.order.isSpot ? "yes" : "no"},
                       {"wanted", std::to_string(order.order.wanted)},
                       {"fence", std::to_string(term.fence)},
                       {"fault", succeeded(taken) ? "" : errorOf(taken).message}});
}

} // namespace poplarspool::gateway
