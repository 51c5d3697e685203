#pragma once

#include "poplarspool/peer/fleet.h"

#include <cstdint>

/// Which instance issues the permits of a runner with a rate limit.
namespace poplarspool::gateway {

/// The two instances that may issue the permits of a runner, by their index in the fleet. The
/// second one does so, for a small part of the limit, while the first one is silent.
struct issuer_pair
{
    static constexpr std::size_t none = SIZE_MAX;

    std::size_t first = none;
    std::size_t second = none;

    bool operator==(const issuer_pair &) const = default;
};

/// All instances choose the same pair, as far as they know the same fleet.
issuer_pair issuersOf(const peer::fleet &fleet, std::uint32_t runner);

/// @returns Where the instance exchanges limits: three ports after its address for gossip.
endpoint limitAddressOf(const endpoint &peerAddress);

} // namespace poplarspool::gateway
