#pragma once

#include "poplarspool/base/ids.h"
#include "poplarspool/scaling/traits.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// How many runners of a service to order where, and of which kind. Pure functions over plain
/// values: no I/O, no clock, no threads.
namespace poplarspool::scaling {

/// Runners of one service in one availability zone. Those that leave don't count.
struct zone_fleet
{
    zone_id zone;
    std::uint32_t size = 0; ///< Wanted, of both kinds together.
    std::uint32_t regular = 0; ///< In service.
    std::uint32_t spot = 0; ///< In service; cheaper, and taken away a whole zone at once.
    std::optional<std::uint32_t> regularOrdered; ///< None: nobody has ordered any.
    std::optional<std::uint32_t> spotOrdered;
    bool isSpotDry = false; ///< None are to be had for now.

    bool operator==(const zone_fleet &) const = default;
};

/// From now on that many runners of the kind.
struct fleet_order
{
    zone_id zone;
    bool isSpot = false;
    std::uint32_t wanted = 0;

    bool operator==(const fleet_order &) const = default;
};

/// @returns What to order now. Spot runners take the place of regular ones: these leave once the
///          spot ones are there, and come back where too many of those are taken away.
std::vector<fleet_order> planFleet(const fleet_traits &traits, std::span<const zone_fleet> zones);

/// An order as it was given, or may have been.
struct given_order
{
    std::string service;
    fleet_order order;

    bool operator==(const given_order &) const = default;
};

/// What holders of the duty leave to each other.
struct fleet_note
{
    std::vector<given_order> given; ///< The last one of each service, zone and kind.
    /// Runners wanted in a zone: as `wanted` of an order, whose kind says nothing.
    std::vector<given_order> sizes;

    bool operator==(const fleet_note &) const = default;
};

std::string encode(const fleet_note &note);
/// @returns None where the text is no such note.
std::optional<fleet_note> decodeFleetNote(std::string_view text);

} // namespace poplarspool::scaling
