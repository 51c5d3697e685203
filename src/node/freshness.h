#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/platform/instance_list.h"
#include "poplarspool/policy/view.h"

#include <cstdint>
#include <vector>

/// Decides whether this instance may accept new work under its current view; see
/// docs/design/freshness.md.
namespace poplarspool::node {

struct freshness_facts
{
    mono_time now{};
    mono_time confirmedAt{}; ///< When the store last confirmed this instance's view.
    std::uint64_t appliedVersion = 0;
    instance_id self;
    std::vector<policy::member> members; ///< As known from gossip.
    std::vector<platform::listed_instance> listed; ///< As last fetched; empty if never fetched.
};

/// A view is fresh for a limited time after its last confirmation by the store. After that, either
/// the store is down for all instances, or this instance is partitioned from it. The view then
/// counts as fresh only while this instance reaches a majority of the listed instances and no known
/// instance has a newer view: then no newer configuration can have been accepted.
///
/// @returns The time until which the view is fresh; a time in the past if it is not.
mono_time freshUntil(const freshness_facts &facts);

/// An instance that gossip no longer knows and that is not, or no longer, in the platform's list.
struct departed_member
{
    instance_id id;
    std::uint64_t appliedVersion = 0; ///< As last received.

    bool operator==(const departed_member &) const = default;
};

/// Which instances are known to have applied a version.
struct acknowledgements
{
    std::uint64_t version = 0;
    milliseconds sinceFirstQuery{0}; ///< Time since this instance first queried that version.
    std::vector<policy::member> members;
    std::vector<platform::listed_instance> listed;
    std::vector<departed_member> departed;
};

/// @returns Whether every instance that may still serve has applied that version: all gossip
///          members and all listed instances. A listed instance that is silent, or that was never
///          seen, delays the result. An instance that is in neither may be partitioned and serve
///          until its view is no longer fresh, so it delays the result for that time.
bool isAppliedEverywhere(const acknowledgements &known);

} // namespace poplarspool::node
