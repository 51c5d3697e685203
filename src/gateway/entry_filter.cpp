#include "poplarspool/gateway/entry_filter.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <tuple>

namespace poplarspool::gateway {

void entry_filter::recordRemoval(const runner &entry, entry_state state, mono_time now)
{
    forgetExpired(now);
    removed[entry.id] = {{entry.startedAtMs, entry.writes, state}, now};
    // The snapshot lists the runner, but its entry was missing before the rollback and it was only
    // retained for its grace period; now it is known to have left.
    const auto rejected = outdated.find(entry.id);
    if (rejected != outdated.end() && rejected->second.listed)
        addOwnMarker(*rejected->second.listed, now);
}

void entry_filter::forgetExpired(mono_time now)
{
    std::erase_if(removed,
                  [now](const auto &one) { return now - one.second.at > config::maxSnapshotAge; });
}

std::optional<known_entry> entry_filter::latestOf(const runner_set &known,
                                                  const runner_id &id) const
{
    if (const runner_entry present = known.find(id))
        return knownEntryOf(*present);
    const auto before = removed.find(id);
    if (before == removed.end())
        return std::nullopt;
    return before->second.last;
}

/// A late write of a removed runner comes soon after the removal; whoever comes back later is
/// alive.
entry_age entry_filter::ageOfListed(const runner_set &known, const runner &entry,
                                    entry_source source, mono_time now) const
{
    const auto latest = latestOf(known, entry.id);
    if (!latest)
        return entry_age::Newer;
    const entry_age age = ageOf(entry, *latest, source);
    if (age != entry_age::Undecided)
        return age;
    const auto before = removed.find(entry.id);
    const bool mayBeLate =
            before != removed.end() && now - before->second.at < config::maxLateWriteTime;
    return mayBeLate ? entry_age::Undecided : entry_age::Newer;
}

/// Entries that are draining get no requests anyway. An entry without a write number would be
/// rejected by each instance that starts from then on, so it is not marked.
void entry_filter::addOwnMarker(const runner &entry, mono_time now)
{
    if (entry.isDraining || entry.writes == 0)
        return;
    std::erase_if(ownMarkers,
                  [&entry](const outdated_entry_marker &one) { return one.id == entry.id; });
    if (ownMarkers.size() >= config::maxOutdatedMarkers)
        return;
    ownMarkers.push_back({entry.id, entry.startedAtMs, entry.writes});
    markedAt = now;
}

void entry_filter::applySnapshot(const runner_set &known, const std::vector<runner> &snapshot,
                                 mono_time now)
{
    forgetExpired(now);
    outdated.clear();
    ownMarkers.clear();
    for (const runner &entry : snapshot) {
        if (ageOfListed(known, entry, entry_source::Snapshot, now) != entry_age::Older)
            continue;
        outdated[entry.id] = {entry.startedAtMs, entry.writes, now, entry, entry_source::Snapshot};
        const runner_entry present = known.find(entry.id);
        const bool hasLeft = !present || present->isDraining;
        // A runner that is alive stays in use although its entry in the snapshot is older.
        if (hasLeft)
            addOwnMarker(entry, now);
    }
}

std::vector<runner_id> entry_filter::addMarkers(const runner_set &known,
                                                const std::vector<outdated_entry_marker> &received,
                                                mono_time now)
{
    std::vector<runner_id> withdrawn;
    for (const outdated_entry_marker &marker : received) {
        const auto before = appliedMarkers.find(marker.id);
        if (before != appliedMarkers.end()
            && std::tie(before->second.startedAtMs, before->second.writes)
                    >= std::tie(marker.startedAtMs, marker.writes))
            continue;
        appliedMarkers[marker.id] = marker;
        // Also rejects it if it appears in the next snapshot.
        removed[marker.id] = {{marker.startedAtMs, marker.writes, entry_state::Removed}, now};
        outdated_entry rejected{marker.startedAtMs, marker.writes, now, std::nullopt,
                                entry_source::Snapshot};
        const runner_entry present = known.find(marker.id);
        if (present && isReplacedBy(rejected, *present))
            continue;
        if (present) {
            rejected.listed = *present;
            withdrawn.push_back(marker.id);
        }
        outdated[marker.id] = std::move(rejected);
    }
    return withdrawn;
}

bool entry_filter::isReplacedBy(const outdated_entry &rejected, const runner &entry)
{
    if (std::tie(entry.startedAtMs, entry.writes) > std::tie(rejected.startedAtMs, rejected.writes))
        return true;
    const bool wasLeaving = rejected.listed && rejected.listed->isDraining;
    return rejected.source == entry_source::Snapshot && entry.isDraining && !wasLeaving;
}

bool entry_filter::accepts(const runner_set &known, const runner &entry, mono_time now)
{
    const auto found = outdated.find(entry.id);
    const bool wasOutdated = found != outdated.end();
    if (wasOutdated && !isReplacedBy(found->second, entry)) {
        found->second.listed = entry;
        return false;
    }
    const bool isFromSnapshot = wasOutdated && found->second.source == entry_source::Snapshot;
    const entry_age age = isFromSnapshot && entry.isDraining
            ? entry_age::Newer
            : ageOfListed(known, entry, entry_source::Store, now);
    // A late write is executed once; a runner that is alive goes on writing.
    if (age == entry_age::Newer || (age == entry_age::Undecided && wasOutdated)) {
        outdated.erase(entry.id);
        return true;
    }
    // Counted from the first one: a runner that is alive goes on writing.
    const mono_time since = wasOutdated ? found->second.since : now;
    outdated[entry.id] = {entry.startedAtMs, entry.writes, since, entry, entry_source::Store};
    const runner_entry present = known.find(entry.id);
    if (!present || present->isDraining)
        addOwnMarker(entry, now);
    return false;
}

std::vector<runner> entry_filter::takeTimedOut(mono_time now)
{
    if (now - markedAt >= config::outdatedEntryConfirmTime)
        ownMarkers.clear();
    std::vector<runner> timedOut;
    for (auto at = outdated.begin(); at != outdated.end();) {
        const outdated_entry &one = at->second;
        if (now - one.since < config::outdatedEntryConfirmTime) {
            ++at;
            continue;
        }
        if (one.listed)
            timedOut.push_back(*one.listed);
        at = outdated.erase(at);
    }
    return timedOut;
}

void entry_filter::restartTimeouts(mono_time now)
{
    for (auto &entry : outdated)
        entry.second.since = now;
}

} // namespace poplarspool::gateway
