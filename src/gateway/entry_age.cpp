#include "poplarspool/gateway/entry_age.h"

namespace poplarspool::gateway {

namespace {

bool isOtherIncarnation(const runner &entry, const known_entry &known)
{
    return entry.startedAtMs != 0 && entry.startedAtMs != known.startedAtMs;
}

bool isGone(entry_state state)
{
    return state == entry_state::Expired || state == entry_state::Unreadable
            || state == entry_state::Removed;
}

/// The sequence number may rise in the store without a change of the entry, so that the known one
/// may be too low. Leaving therefore beats any number in a snapshot.
entry_age ageInSnapshot(const runner &entry, const known_entry &known)
{
    if (isGone(known.state))
        return entry.startedAtMs > known.startedAtMs ? entry_age::Newer : entry_age::Older;
    if (entry.startedAtMs != known.startedAtMs)
        return entry.startedAtMs > known.startedAtMs ? entry_age::Newer : entry_age::Older;
    const bool isOlder = !entry.isDraining
            && (known.state != entry_state::Serving || known.writes > entry.writes);
    return isOlder ? entry_age::Older : entry_age::Newer;
}

/// The number is that of the known entry, or a higher one.
entry_age ageOfLaterWrite(const runner &entry, const known_entry &known)
{
    const bool isSameWrite = entry.writes == known.writes;
    switch (known.state) {
    case entry_state::Serving:
    case entry_state::Missing:
    case entry_state::Unreadable:
        return entry_age::Newer;
    case entry_state::Draining:
        return isSameWrite && !entry.isDraining ? entry_age::Older : entry_age::Newer;
    case entry_state::Expired:
        return isSameWrite ? entry_age::Undecided : entry_age::Newer;
    case entry_state::Removed:
        break;
    }
    return isSameWrite ? entry_age::Older : entry_age::Undecided;
}

} // namespace

std::string_view nameOf(entry_state state)
{
    switch (state) {
    case entry_state::Serving:
        return "serving";
    case entry_state::Draining:
        return "draining";
    case entry_state::Missing:
        return "missing";
    case entry_state::Expired:
        return "expired";
    case entry_state::Unreadable:
        return "unreadable";
    case entry_state::Removed:
        break;
    }
    return "removed";
}

known_entry knownEntryOf(const runner &present)
{
    const bool isMissing = present.retainedUntil != mono_time::max();
    return {present.startedAtMs, present.writes,
            isMissing                    ? entry_state::Missing
                    : present.isDraining ? entry_state::Draining
                                         : entry_state::Serving};
}

entry_age ageOf(const runner &entry, const known_entry &known, entry_source source)
{
    if (source == entry_source::Snapshot)
        return ageInSnapshot(entry, known);
    if (isOtherIncarnation(entry, known))
        return entry.startedAtMs > known.startedAtMs ? entry_age::Newer : entry_age::Older;
    // Without numbers there is nothing to compare: the store's order counts.
    if (entry.writes == 0 || known.writes == 0)
        return entry_age::Newer;
    return entry.writes < known.writes ? entry_age::Older : ageOfLaterWrite(entry, known);
}

runner withKnownCounts(runner entry, const known_entry &known)
{
    if (isOtherIncarnation(entry, known))
        return entry;
    entry.startedAtMs = known.startedAtMs;
    if (entry.writes == 0)
        entry.writes = known.writes;
    return entry;
}

} // namespace poplarspool::gateway
