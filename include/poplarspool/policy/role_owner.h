#pragma once

#include "poplarspool/policy/view.h"

#include <span>
#include <string_view>
#include <vector>

/// Who has a soft role (planner of a pool, batcher of a bucket, poller of a runner). Instances with
/// different views may name different owners: that wastes work, and breaks no promise.
namespace poplarspool::policy {

/// @param key Of the role, such as "plan/recovery-llm".
/// @param zone Whose live instances go before all others, where it has any; invalid: none do.
/// @returns The live instance with the highest rendezvous weight; nullptr where none is alive.
const member *ownerOf(std::span<const member> members, std::string_view key,
                      const zone_id &zone = {});

/// @returns The live instances with the highest weights, at most `count`, the highest first.
std::vector<const member *> ownersOf(std::span<const member> members, std::string_view key,
                                     std::size_t count);

} // namespace poplarspool::policy
