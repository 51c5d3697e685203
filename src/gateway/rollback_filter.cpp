#include "poplarspool/gateway/rollback_filter.h"

#include "poplarspool/gateway/limits.h"

#include <tuple>

namespace poplarspool::gateway {

void rollback_filter::recordRemoval(const runner &entry, mono_time now)
{
    forgetExpired(now);
    removed[entry.id] = {entry.startedAtMs, now};
    // The snapshot lists the runner, but its entry was missing before the rollback and it was only
    // retained for its grace period; now it is known to have left.
    const auto rejected = outdated.find(entry.id);
    if (rejected != outdated.end() && rejected->second.listed)
        addOwnMarker(*rejected->second.listed);
}

void rollback_filter::forgetExpired(mono_time now)
{
    std::erase_if(removed,
                  [now](const auto &one) { return now - one.second.at > config::maxSnapshotAge; });
}

/// A restarted runner is a new incarnation, and the state of the previous one says nothing about
/// it. The snapshot may also list an incarnation that ended long ago.
bool rollback_filter::isOlderThanKnown(const runner_set &known, const runner &entry) const
{
    if (const runner_entry present = known.find(entry.id)) {
        const runner &newer = *present;
        if (newer.startedAtMs != entry.startedAtMs)
            return newer.startedAtMs > entry.startedAtMs;
        const bool isMissing = newer.retainedUntil != mono_time::max();
        return !entry.isDraining && (newer.isDraining || isMissing || newer.writes > entry.writes);
    }
    const auto before = removed.find(entry.id);
    return before != removed.end() && before->second.startedAtMs >= entry.startedAtMs;
}

/// Entries that are draining in the snapshot get no requests anyway. An entry without a write
/// number would be rejected by each instance that starts from then on, so it is not marked.
void rollback_filter::addOwnMarker(const runner &entry)
{
    if (!entry.isDraining && entry.writes > 0 && ownMarkers.size() < config::maxOutdatedMarkers)
        ownMarkers.push_back({entry.id, entry.startedAtMs, entry.writes});
}

void rollback_filter::applySnapshot(const runner_set &known, const std::vector<runner> &snapshot,
                                    mono_time now)
{
    forgetExpired(now);
    outdated.clear();
    ownMarkers.clear();
    rolledBackAt = now;
    for (const runner &entry : snapshot) {
        if (!isOlderThanKnown(known, entry))
            continue;
        outdated[entry.id] = {entry.startedAtMs, entry.writes, now, entry};
        const runner_entry present = known.find(entry.id);
        const bool hasLeft = !present || present->isDraining;
        // A runner that is alive stays in use although its entry in the snapshot is older.
        if (hasLeft)
            addOwnMarker(entry);
    }
}

void rollback_filter::addMarkers(const std::vector<outdated_entry_marker> &received, mono_time now)
{
    for (const outdated_entry_marker &marker : received) {
        const auto before = appliedMarkers.find(marker.id);
        if (before != appliedMarkers.end()
            && std::tie(before->second.startedAtMs, before->second.writes)
                    >= std::tie(marker.startedAtMs, marker.writes))
            continue;
        appliedMarkers[marker.id] = marker;
        outdated[marker.id] = {marker.startedAtMs, marker.writes, now, std::nullopt};
        // Also rejects it if it appears in the next snapshot.
        removed[marker.id] = {marker.startedAtMs, now};
    }
}

bool rollback_filter::isOutdated(const runner &entry)
{
    const auto found = outdated.find(entry.id);
    if (found == outdated.end())
        return false;
    outdated_entry &rejected = found->second;
    const bool isNewer = std::tie(entry.startedAtMs, entry.writes)
            > std::tie(rejected.startedAtMs, rejected.writes);
    const bool wasLeaving = rejected.listed && rejected.listed->isDraining;
    if (!isNewer && (!entry.isDraining || wasLeaving)) {
        rejected.listed = entry;
        return true;
    }
    outdated.erase(found);
    return false;
}

std::vector<runner> rollback_filter::takeTimedOut(mono_time now)
{
    if (now - rolledBackAt >= config::rollbackEntryConfirmTime)
        ownMarkers.clear();
    std::vector<runner> timedOut;
    for (auto at = outdated.begin(); at != outdated.end();) {
        const outdated_entry &one = at->second;
        if (now - one.since < config::rollbackEntryConfirmTime) {
            ++at;
            continue;
        }
        if (one.listed)
            timedOut.push_back(*one.listed);
        at = outdated.erase(at);
    }
    return timedOut;
}

} // namespace poplarspool::gateway
