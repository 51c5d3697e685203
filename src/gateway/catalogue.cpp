#include "poplarspool/gateway/catalogue.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <numeric>

namespace poplarspool::gateway {

std::string_view nameOf(engine_stage stage)
{
    switch (stage) {
    case engine_stage::Prefill:
        return "prefill";
    case engine_stage::Decode:
        return "decode";
    case engine_stage::None:
        break;
    }
    return "none";
}

version_key versionKeyOf(const software_version &version)
{
    return hashOf(version.text);
}

withdrawals::runner_life lifeOf(const runner &target)
{
    return {target.id, target.startedAtMs};
}

bool equalExceptWrites(const runner &one, runner other)
{
    other.writes = one.writes;
    return one == other;
}

sole_version_map updateSoleVersions(const sole_version_map &before, const runner_set &runners,
                                    mono_time now)
{
    sole_version_map next;
    runners.forEachService([&](const service_id &service) {
        const std::set<version_key> versions = runners.versionsOf(service);
        const auto known = before.find(service);
        const bool isKnown = known != before.end();
        if (isKnown && (versions.empty() || versions == std::set{known->second.version}))
            next.insert(*known);
        else if (versions.size() == 1)
            next[service] = {*versions.begin(), now};
    });
    return next;
}

service_id pickServiceByWeight(const route &chosen, std::uint64_t draw)
{
    const std::uint64_t total = std::accumulate(
            chosen.services.begin(), chosen.services.end(), std::uint64_t{0},
            [](std::uint64_t sum, const weighted_service &one) { return sum + one.weight; });
    if (total == 0)
        return {};
    std::uint64_t remaining = draw % total;
    for (const weighted_service &one : chosen.services) {
        if (remaining < one.weight)
            return one.service;
        remaining -= one.weight;
    }
    return {};
}

const service *findService(const route_table &table, const service_id &id)
{
    const auto found = std::ranges::find_if(table.services,
                                            [&id](const service &one) { return one.id == id; });
    return found == table.services.end() ? nullptr : &*found;
}

} // namespace poplarspool::gateway
