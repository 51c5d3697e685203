#include "gateway/carrier_choice.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

/// Failures of instances of one zone from which the zone is not preferred: its instances probably
/// share their own.
constexpr std::ptrdiff_t maxFailuresInZone = 2;

} // namespace

std::vector<policy::member> chooseCarriers(std::span<const policy::member> candidates,
                                           const std::map<instance_id, zone_id> &failed,
                                           const carrier_query &query)
{
    std::vector<const policy::member *> near;
    std::vector<const policy::member *> far;
    for (const policy::member &one : candidates) {
        const bool isUsable = one.state == policy::member_state::Alive && one.id != query.self
                && one.peerAddress.isValid() && !failed.contains(one.id);
        if (isUsable)
            (one.zone == query.zone ? near : far).push_back(&one);
    }
    const auto failuresNear =
            std::ranges::count(failed, query.zone, [](const auto &one) { return one.second; });
    if (failuresNear >= maxFailuresInZone)
        near.clear();
    std::vector<policy::member> chosen;
    const auto takeFrom = [&](std::vector<const policy::member *> &group) {
        if (chosen.size() >= config::maxCarriersAsked || group.empty())
            return;
        const auto index = static_cast<std::ptrdiff_t>(query.draw % group.size());
        chosen.push_back(*group[static_cast<std::size_t>(index)]);
        group.erase(group.begin() + index);
    };
    takeFrom(near);
    takeFrom(far);
    takeFrom(near);
    takeFrom(far);
    return chosen;
}

void failed_carriers::record(const policy::member &carrier)
{
    const std::lock_guard lock(guard);
    failures[carrier.id] = {carrier.zone, clock.mono() + config::unusableCarrierTime};
}

std::map<instance_id, zone_id> failed_carriers::current()
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    std::erase_if(failures, [now](const auto &one) { return one.second.expires <= now; });
    std::map<instance_id, zone_id> found;
    for (const auto &[id, one] : failures)
        found[id] = one.zone;
    return found;
}

} // namespace poplarspool::gateway
