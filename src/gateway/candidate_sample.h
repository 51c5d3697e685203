#pragma once

#include "poplarspool/gateway/runner_set.h"

#include <cstdint>
#include <vector>

/// Which runners of a group a request considers. A choice among all runners would take longer the
/// larger the fleet is. Pure functions over plain values.
namespace poplarspool::gateway {

/// @returns All runners of the group if there are at most config::sampledRunners, else as many,
/// evenly spaced along the ring from a random start. Each runner is sampled equally often.
/// @param draw Uniformly distributed random bits.
std::vector<runner_entry> sampleOf(const runner_ring &group, std::uint64_t draw);

/// @returns The runners of the group in the order in which all instances prefer them for prompts
/// with the same shared parts; the first config::preferredRunners of a group that is sampled. A
/// runner that joins or leaves changes the order only for its own share of the keys.
/// @param key Identifies the shared parts; 0: none.
std::vector<runner_entry> preferredOf(const runner_ring &group, std::uint64_t key);

} // namespace poplarspool::gateway
