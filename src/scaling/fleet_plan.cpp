#include "poplarspool/scaling/fleet_plan.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/scaling/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::scaling {

namespace {

using nlohmann::json;

constexpr char noteGiven[] = "given";
constexpr char noteSizes[] = "sizes";
constexpr char noteService[] = "service";
constexpr char noteZone[] = "zone";
constexpr char noteSpot[] = "spot";
constexpr char noteWanted[] = "wanted";

/// With all spot runners of one zone taken away, the others are to be as many as are wanted.
std::uint32_t sizeWithSpare(std::uint32_t size, std::size_t zones)
{
    const auto others = static_cast<std::uint32_t>(std::max<std::size_t>(zones, 2) - 1);
    return zones < 2 ? size : size + (size + others - 1) / others;
}

/// Spot runners of a zone, beside the regular ones that are still there or must stay.
std::uint32_t spotWanted(const fleet_traits &traits, const zone_fleet &zone, std::size_t zones)
{
    const std::uint32_t staying = std::max(traits.least, zone.regular);
    const std::uint32_t room = traits.most - std::min(traits.most, staying);
    const std::uint32_t size = sizeWithSpare(zone.size, zones);
    const std::uint32_t replaced = size - std::min(size, traits.least);
    return std::min(replaced, room);
}

/// @returns Whether so many are gone that the others don't suffice until they are back.
bool isShort(std::span<const zone_fleet> zones)
{
    double wanted = 0;
    double present = 0;
    for (const zone_fleet &one : zones) {
        wanted += one.size;
        present += std::min(one.size, one.regular + one.spot);
    }
    return present < wanted * config::fleetLeastShare;
}

/// Regular runners leave one for one as spot ones begin to serve. One by one, they don't come back:
/// spot ones do, and cheaper.
std::uint32_t regularWanted(const fleet_traits &traits, const zone_fleet &zone, bool areShort)
{
    const std::uint32_t present = zone.regularOrdered.value_or(zone.regular);
    const std::uint32_t lacking = zone.size - std::min(zone.size, zone.spot);
    const std::uint32_t wanted = areShort ? std::max(present, lacking) : std::min(present, lacking);
    return std::clamp(wanted, traits.least, std::max(traits.least, traits.most));
}

json encodeOrders(const std::vector<given_order> &orders)
{
    json made = json::array();
    for (const given_order &one : orders)
        made.push_back({{noteService, one.service},
                        {noteZone, one.order.zone.text},
                        {noteSpot, one.order.isSpot},
                        {noteWanted, one.order.wanted}});
    return made;
}

std::vector<given_order> decodeOrders(const json &entries)
{
    std::vector<given_order> made;
    for (const json &entry : entries)
        made.push_back({entry.at(noteService).get<std::string>(),
                        {{entry.at(noteZone).get<std::string>()},
                         entry.at(noteSpot).get<bool>(),
                         entry.at(noteWanted).get<std::uint32_t>()}});
    return made;
}

} // namespace

std::vector<fleet_order> planFleet(const fleet_traits &traits, std::span<const zone_fleet> zones)
{
    std::vector<fleet_order> orders;
    if (traits.spotPrice > config::spotPriceMost)
        return orders;
    const bool areShort = isShort(zones);
    for (const zone_fleet &zone : zones) {
        const std::uint32_t spot = spotWanted(traits, zone, zones.size());
        // An order for fewer would send away runners that serve.
        const bool wantsMore = spot > zone.spotOrdered.value_or(0);
        if (wantsMore && !zone.isSpotDry)
            orders.push_back({zone.zone, true, spot});
        const std::uint32_t regular = regularWanted(traits, zone, areShort);
        if (regular != zone.regularOrdered.value_or(zone.regular))
            orders.push_back({zone.zone, false, regular});
    }
    return orders;
}

std::string encode(const fleet_note &note)
{
    return json{{noteGiven, encodeOrders(note.given)}, {noteSizes, encodeOrders(note.sizes)}}
            .dump();
}

std::optional<fleet_note> decodeFleetNote(std::string_view text)
{
    try {
        const json read = parseJsonOrThrow(text);
        return fleet_note{decodeOrders(read.at(noteGiven)), decodeOrders(read.at(noteSizes))};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace poplarspool::scaling
