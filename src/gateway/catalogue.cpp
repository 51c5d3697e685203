#include "poplarspool/gateway/catalogue.h"

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

bool equalExceptWrites(const runner &one, runner other)
{
    other.writes = one.writes;
    return one == other;
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
