#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/platform/instance_list.h"
#include "poplarspool/policy/view.h"

#include <cstdint>
#include <vector>

/// Whether this instance may accept new work on the view that it has; docs/design/freshness.md.
namespace poplarspool::node {

struct freshness_facts
{
    mono_time now{};
    mono_time confirmedAt{}; ///< Of this instance's view.
    std::uint64_t appliedVersion = 0;
    instance_id self;
    std::vector<policy::member> members; ///< As gossip has them.
    std::vector<platform::listed_instance> listed; ///< As last fetched; empty: never.
};

/// A view is fresh while its last confirmation by the store is young. Else the store may be down
/// for all, or this instance may be cut off; only one that reaches a majority of the listed
/// instances, none of which has more or a younger confirmation, may take it that nothing newer has
/// been accepted.
bool isFresh(const freshness_facts &facts);

/// @returns Whether every instance that may still serve has applied that version: all members and
///          all listed ones. One that was never heard of, or is silent, holds this back.
bool isAppliedEverywhere(std::uint64_t version, const std::vector<policy::member> &members,
                         const std::vector<platform::listed_instance> &listed);

} // namespace poplarspool::node
