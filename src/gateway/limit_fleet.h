#pragma once

#include "poplarspool/gateway/listed_gateway.h"
#include "poplarspool/policy/view.h"

#include <cstdint>
#include <set>
#include <vector>

/// The instances that share the runners' rate limits, and which of them issues the permits of a
/// runner. Pure functions over plain values.
namespace poplarspool::gateway {

struct limit_instance
{
    std::uint64_t number = 0; ///< Of the instance in datagrams.
    std::uint64_t weightSeed = 0; ///< Hash of its id.
    endpoint address;
    bool isAlive = true; ///< Not known to be dead or leaving.

    bool operator==(const limit_instance &) const = default;
};

struct limit_fleet
{
    std::vector<limit_instance> instances; ///< Includes this one.
    std::uint64_t version = 0; ///< Increases with each change.

    bool operator==(const limit_fleet &) const = default;
};

/// The two instances that may issue the permits of a runner, by their index in the fleet. The
/// second one does so, for a small part of the limit, while the first one is silent.
struct issuer_pair
{
    static constexpr std::size_t none = SIZE_MAX;

    std::size_t first = none;
    std::size_t second = none;

    bool operator==(const issuer_pair &) const = default;
};

/// All instances choose the same pair, as far as they know the same instances: those in the store's
/// list, which all read alike, less those that gossip knows to be gone. Gossip alone would not do:
/// in a fleet of a thousand it needs minutes to spread all records, and until then each
/// instance would choose another issuer, each of which would issue the whole limit.
issuer_pair issuersOf(const limit_fleet &fleet, std::uint32_t runner);

/// @param seen Instances that gossip has known to be alive. Updated.
/// @param self Always part of the result.
limit_fleet fleetOf(const std::vector<listed_gateway> &listed,
                    const std::vector<policy::member> &members, const listed_gateway &self,
                    std::set<instance_id> &seen);

/// @returns Where the instance exchanges limits: three ports after its address for gossip.
endpoint limitAddressOf(const endpoint &peerAddress);

} // namespace poplarspool::gateway
