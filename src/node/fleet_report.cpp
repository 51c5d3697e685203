#include "node/fleet_report.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

std::string_view nameOf(policy::runner_health health)
{
    switch (health) {
    case policy::runner_health::Up:
        return "up";
    case policy::runner_health::Down:
        return "down";
    default:
        return "unknown";
    }
}

operators::runner_status statusOf(const policy::runner_spec &spec,
                                  const policy::runner_state &state)
{
    operators::runner_status shown;
    shown.runner = spec.id.text;
    shown.pool = spec.pool.text;
    shown.health = nameOf(state.health);
    shown.role = policy::nameOf(state.report.role);
    shown.isDraining = spec.isDraining;
    shown.isReserved = state.isReserved;
    shown.running = state.report.running;
    shown.queued = state.report.queued;
    shown.kvPiecesUsed = state.report.kvPiecesUsed;
    shown.kvPiecesTotal = state.report.kvPiecesTotal;
    return shown;
}

} // namespace

operators::fleet_status fleetStatusOf(const policy::view &now, const instance_id &self,
                                      bool isStoreReachable, mono_time time)
{
    operators::fleet_status status;
    status.answeredBy = self;
    status.acceptedVersion = now.configVersion;
    status.isFresh = policy::isFresh(now, time);
    status.isStoreReachable = isStoreReachable;
    for (const policy::member &other : now.members)
        status.instances.push_back({other, other.appliedVersion >= now.configVersion});
    if (!now.fleet)
        return status;
    for (std::size_t i = 0; i < now.fleet->runners.size(); ++i)
        status.runners.push_back(statusOf(now.fleet->runners[i], now.runners[i]));
    return status;
}

std::vector<event> mergeTimelines(std::vector<std::vector<event>> parts)
{
    std::vector<event> all;
    for (std::vector<event> &part : parts)
        std::move(part.begin(), part.end(), std::back_inserter(all));
    std::stable_sort(all.begin(), all.end(), [](const event &a, const event &b) {
        return std::tie(a.at, a.instance) < std::tie(b.at, b.instance);
    });
    return all;
}

} // namespace poplarspool::node
