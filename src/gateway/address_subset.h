#pragma once

#include "gateway/cut_off_instances.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/policy/view.h"

#include <cstdint>
#include <vector>

namespace poplarspool::gateway {

/// Selects the addresses that one instance returns to callers, who use a bounded number of them.
/// The instances of a zone together return all addresses about equally often, and each returns the
/// same ones as long as they exist, so that callers keep their connections.
/// @param position Differs between instances, uniformly distributed.
/// @returns At most config::maxDirectoryAddresses.
std::vector<endpoint> addressSubset(std::vector<endpoint> addresses, std::uint64_t position);

/// @param open Instances that take callers.
/// @returns Those that are not cut off from the runners, if they can take the callers of all; else
///          all: an instance that is cut off still serves through others.
std::vector<policy::member> withoutCutOff(const std::vector<policy::member> &open,
                                          const cut_off_instances &cutOff);

/// @returns The addresses of the caller's zone if it has enough instances, else of all.
std::vector<endpoint> addressesNear(const std::vector<policy::member> &open, const zone_id &zone);

} // namespace poplarspool::gateway
