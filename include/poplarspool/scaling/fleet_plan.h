#pragma once

#include "poplarspool/base/ids.h"
#include "poplarspool/scaling/traits.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Decides how many runners of a service to order in each zone, and of which kind. Pure functions
/// over plain values: no I/O, no clock, no threads.
namespace poplarspool::scaling {

/// Runners of one service in one availability zone, without those that are leaving.
struct zone_fleet
{
    zone_id zone;
    std::uint32_t size = 0; ///< Wanted number of runners, both kinds together.
    bool isSizeFinal = false; ///< The size doesn't grow any more: the fleet has registered.
    std::uint32_t regular = 0; ///< In service.
    std::uint32_t spot = 0; ///< In service. Cheaper; a whole zone may be reclaimed at once.
    std::optional<std::uint32_t> regularOrdered; ///< None: no order has been issued.
    std::optional<std::uint32_t> spotOrdered;
    bool isSpotUnavailable = false; ///< The platform has no spot capacity for now.

    bool operator==(const zone_fleet &) const = default;
};

/// Sets the number of runners of one kind in one zone.
struct fleet_order
{
    zone_id zone;
    bool isSpot = false;
    std::uint32_t wanted = 0;

    bool operator==(const fleet_order &) const = default;
};

/// @returns The wanted number of runners of a zone whose former orders are unknown, as its runners
///          in service show it.
/// @param zones Number of zones in which the service has runners.
std::uint32_t sizeInService(const fleet_traits &traits, const zone_fleet &zone, std::size_t zones);

/// @returns Orders to issue now. Spot runners replace regular ones, which are removed once the size
///          is final and the spot runners are in service, and ordered again if too many of these
///          are reclaimed. No order is for fewer spot runners than are in service.
std::vector<fleet_order> planFleet(const fleet_traits &traits, std::span<const zone_fleet> zones);

/// An order that was issued, or may have been.
struct issued_order
{
    std::string service;
    fleet_order order;

    bool operator==(const issued_order &) const = default;
};

/// State that a holder of the duty leaves to the next one.
struct fleet_checkpoint
{
    std::vector<issued_order> issued; ///< Last order of each service, zone and kind.
    /// Wanted number of runners in each zone, as `wanted` of an order; its kind is ignored.
    std::vector<issued_order> sizes;

    bool operator==(const fleet_checkpoint &) const = default;
};

std::string encode(const fleet_checkpoint &checkpoint);
/// @returns None if the text is not a valid checkpoint.
std::optional<fleet_checkpoint> decodeFleetCheckpoint(std::string_view text);

} // namespace poplarspool::scaling
