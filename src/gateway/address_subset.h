#pragma once

#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <vector>

namespace poplarspool::gateway {

/// Selects the addresses that one instance returns to callers, who use a bounded number of them.
/// The instances of a zone together return all addresses about equally often, and each returns the
/// same ones as long as they exist, so that callers keep their connections.
/// @param position Differs between instances, uniformly distributed.
/// @returns At most config::maxDirectoryAddresses.
std::vector<endpoint> addressSubset(std::vector<endpoint> addresses, std::uint64_t position);

} // namespace poplarspool::gateway
