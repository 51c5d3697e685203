#pragma once

#include "poplarspool/policy/view.h"

#include <span>
#include <string_view>
#include <vector>

/// Ownership of soft roles: planner of a pool, batcher of a bucket, poller of a runner. Instances
/// with different views may choose different owners; this duplicates work but does not affect
/// correctness.
namespace poplarspool::policy {

/// @param key Names the role, such as "plan/recovery-llm".
/// @param zone Preferred zone: if it has live instances, the owner is one of them. Invalid: no
///             preference.
/// @returns The live instance with the highest rendezvous weight; nullptr if none is alive.
const member *ownerOf(std::span<const member> members, std::string_view key,
                      const zone_id &zone = {});

/// @returns Up to `count` live instances with the highest weights, in descending order.
std::vector<const member *> ownersOf(std::span<const member> members, std::string_view key,
                                     std::size_t count);

} // namespace poplarspool::policy
