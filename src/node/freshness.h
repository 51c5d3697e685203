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
///
/// @returns Until when; a time that has passed where it is not fresh.
mono_time freshUntil(const freshness_facts &facts);

/// An instance that gossip has lost sight of and the list doesn't have (any more).
struct departed_member
{
    instance_id id;
    std::uint64_t appliedVersion = 0; ///< As last heard.

    bool operator==(const departed_member &) const = default;
};

/// What is known of who has applied a version.
struct acknowledgements
{
    std::uint64_t version = 0;
    milliseconds sinceAsked{0}; ///< Time since this instance first knew of that version.
    std::vector<policy::member> members;
    std::vector<platform::listed_instance> listed;
    std::vector<departed_member> departed;
};

/// @returns Whether every instance that may still serve has applied that version: all members and
///          all listed ones. One that was never heard of, or is silent, holds this back. One that
///          is in neither may be cut off and serve on until its view is no longer fresh, so it
///          holds this back that long.
bool isAppliedEverywhere(const acknowledgements &known);

} // namespace poplarspool::node
