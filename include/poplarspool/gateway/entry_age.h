#pragma once

#include "poplarspool/gateway/runner.h"

#include <cstdint>
#include <string_view>

/// Tells whether a runner's entry is from before what is known of that runner. Pure functions.
///
/// A write of an entry may be executed seconds after it was sent, and a store may be restored from
/// an older snapshot. In both cases the store has an entry that the runner has since replaced or
/// removed.
namespace poplarspool::gateway {

/// What this instance last knew of a runner's entry.
enum class entry_state {
    Serving,
    Draining,
    Missing, ///< Not listed after an outage of the store; the runner may be alive.
    Expired, ///< The grace period of a missing entry has ended.
    Unreadable, ///< The entry can't be parsed: another writer's. The runner may be alive.
    Removed, ///< The store has removed the entry.
};

std::string_view nameOf(entry_state state);

/// The newest entry of a runner that this instance has seen.
struct known_entry
{
    std::uint64_t startedAtMs = 0; ///< 0 if not reported.
    std::uint64_t writes = 0; ///< 0 if not reported.
    entry_state state = entry_state::Serving;

    bool operator==(const known_entry &) const = default;
};

enum class entry_source {
    Store, ///< The store's current state, or a change of it.
    Snapshot, ///< The first list after the store was restored from an older snapshot.
};

enum class entry_age {
    Newer, ///< To be used.
    Older, ///< Replaced or removed since.
    Undecided, ///< A removed runner that came back, or a late write: only time tells.
};

known_entry knownEntryOf(const runner &present);

/// @returns The age of the entry compared to what is known of the same runner.
entry_age ageOf(const runner &entry, const known_entry &known, entry_source source);

/// @returns The entry, with the known start time and sequence number where it reports none but is
/// of the same incarnation: an entry of another writer must not make later ones look newer.
runner withKnownCounts(runner entry, const known_entry &known);

} // namespace poplarspool::gateway
