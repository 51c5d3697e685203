#include "poplarspool/gateway/catalogue.h"

#include "base/http_text.h"

#include <algorithm>
#include <numeric>

namespace poplarspool::gateway {

namespace {

/// A Host header may name the port as well.
std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

} // namespace

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

bool saysTheSame(const runner &one, runner other)
{
    other.writes = one.writes;
    return one == other;
}

const route *findRoute(const route_table &table, std::string_view host, std::string_view path)
{
    const std::string_view name = withoutPort(host);
    const std::string_view plainPath = path.substr(0, path.find('?'));
    const route *best = nullptr;
    for (const route &one : table.routes) {
        if (!plainPath.starts_with(one.pathPrefix) || !equalsIgnoringCase(one.host, name))
            continue;
        if (best == nullptr || one.pathPrefix.size() > best->pathPrefix.size())
            best = &one;
    }
    return best;
}

service_id drawService(const route &chosen, std::uint64_t draw)
{
    const std::uint64_t total = std::accumulate(
            chosen.services.begin(), chosen.services.end(), std::uint64_t{0},
            [](std::uint64_t sum, const weighted_service &one) { return sum + one.weight; });
    if (total == 0)
        return {};
    std::uint64_t left = draw % total;
    for (const weighted_service &one : chosen.services) {
        if (left < one.weight)
            return one.service;
        left -= one.weight;
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
