#include "poplarspool/scaling/fleet_plan.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/scaling/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::scaling {

namespace {

using nlohmann::json;

constexpr char issuedKey[] = "given";
constexpr char sizesKey[] = "sizes";
constexpr char serviceKey[] = "service";
constexpr char zoneKey[] = "zone";
constexpr char spotKey[] = "spot";
constexpr char wantedKey[] = "wanted";

/// @returns Size per zone at which the other zones still have all wanted runners after the spot
///          runners of one zone are reclaimed.
std::uint32_t sizeWithSpare(std::uint32_t size, std::size_t zones)
{
    const auto others = static_cast<std::uint32_t>(std::max<std::size_t>(zones, 2) - 1);
    return zones < 2 ? size : size + (size + others - 1) / others;
}

/// @returns Spot runners to order in a zone, in addition to the regular runners that are still in
///          service or must stay.
std::uint32_t spotWanted(const fleet_traits &traits, const zone_fleet &zone, std::size_t zones)
{
    const std::uint32_t retained = std::max(traits.minRunners, zone.regular);
    const std::uint32_t room = traits.maxRunners - std::min(traits.maxRunners, retained);
    const std::uint32_t size = sizeWithSpare(zone.size, zones);
    const std::uint32_t replaced = size - std::min(size, traits.minRunners);
    return std::min(replaced, room);
}

/// @returns Whether too few runners are left to wait until the reclaimed ones are back.
bool isShort(std::span<const zone_fleet> zones)
{
    double wanted = 0;
    double present = 0;
    for (const zone_fleet &one : zones) {
        wanted += one.size;
        present += std::min(one.size, one.regular + one.spot);
    }
    return present < wanted * config::minFleetShare;
}

/// @returns Regular runners to order in a zone. Each spot runner that starts to serve replaces a
///          regular one. For single reclaimed spot runners no regular ones are ordered, since
///          replacement spot runners are cheaper.
std::uint32_t regularWanted(const fleet_traits &traits, const zone_fleet &zone, bool areShort)
{
    const std::uint32_t present = zone.regularOrdered.value_or(zone.regular);
    const std::uint32_t lacking = zone.size - std::min(zone.size, zone.spot);
    const std::uint32_t kept = zone.isSizeFinal ? std::min(present, lacking) : present;
    const std::uint32_t wanted = areShort ? std::max(present, lacking) : kept;
    return std::clamp(wanted, traits.minRunners, std::max(traits.minRunners, traits.maxRunners));
}

json encodeOrders(const std::vector<issued_order> &orders)
{
    json made = json::array();
    for (const issued_order &one : orders)
        made.push_back({{serviceKey, one.service},
                        {zoneKey, one.order.zone.text},
                        {spotKey, one.order.isSpot},
                        {wantedKey, one.order.wanted}});
    return made;
}

std::vector<issued_order> decodeOrders(const json &entries)
{
    std::vector<issued_order> made;
    for (const json &entry : entries)
        made.push_back({entry.at(serviceKey).get<std::string>(),
                        {{entry.at(zoneKey).get<std::string>()},
                         entry.at(spotKey).get<bool>(),
                         entry.at(wantedKey).get<std::uint32_t>()}});
    return made;
}

} // namespace

std::uint32_t sizeInService(const fleet_traits &traits, const zone_fleet &zone, std::size_t zones)
{
    if (zone.spot == 0)
        return zone.regular;
    const std::uint64_t served = zone.spot + traits.minRunners;
    const std::uint64_t others = std::max<std::size_t>(zones, 2) - 1;
    const std::uint64_t withoutSpare = zones < 2 ? served : served * others / (others + 1);
    return std::max(zone.regular, static_cast<std::uint32_t>(withoutSpare));
}

std::vector<fleet_order> planFleet(const fleet_traits &traits, std::span<const zone_fleet> zones)
{
    std::vector<fleet_order> orders;
    if (traits.spotPrice > config::maxSpotPrice)
        return orders;
    const bool areShort = isShort(zones);
    for (const zone_fleet &zone : zones) {
        const std::uint32_t spot = spotWanted(traits, zone, zones.size());
        // An order with a lower number would remove runners that are in service.
        const bool wantsMore = spot > std::max(zone.spotOrdered.value_or(0), zone.spot);
        if (wantsMore && !zone.isSpotUnavailable)
            orders.push_back({zone.zone, true, spot});
        const std::uint32_t regular = regularWanted(traits, zone, areShort);
        if (regular != zone.regularOrdered.value_or(zone.regular))
            orders.push_back({zone.zone, false, regular});
    }
    return orders;
}

std::string encode(const fleet_checkpoint &checkpoint)
{
    return json{{issuedKey, encodeOrders(checkpoint.issued)},
                {sizesKey, encodeOrders(checkpoint.sizes)}}
            .dump();
}

std::optional<fleet_checkpoint> decodeFleetCheckpoint(std::string_view text)
{
    try {
        const json read = parseJsonOrThrow(text);
        return fleet_checkpoint{decodeOrders(read.at(issuedKey)), decodeOrders(read.at(sizesKey))};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace poplarspool::scaling
