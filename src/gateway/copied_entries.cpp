#include "poplarspool/gateway/copied_entries.h"

#include "poplarspool/gateway/limits.h"

#include <tuple>

namespace poplarspool::gateway {

void copied_entries::noteGone(const runner &entry, mono_time now)
{
    forgetExpired(now);
    removed[entry.id] = {entry.bornMs, now};
    // It was in its grace period, since the snapshot lacked it; now it is known to have left.
    const auto rejected = outdated.find(entry.id);
    if (rejected != outdated.end() && rejected->second.listed)
        addOwnMarker(*rejected->second.listed);
}

void copied_entries::forgetExpired(mono_time now)
{
    std::erase_if(removed,
                  [now](const auto &one) { return now - one.second.at > config::lostWritesTime; });
}

/// A restarted runner is a new incarnation, and the state of the previous one says nothing about
/// it. The snapshot may also list an incarnation that ended long ago.
bool copied_entries::isOlderThanKnown(const runner_map &known, const runner &entry) const
{
    const auto present = known.find(entry.id);
    if (present != known.end()) {
        const runner &newer = *present->second;
        if (newer.bornMs != entry.bornMs)
            return newer.bornMs > entry.bornMs;
        const bool isMissing = newer.keptUntil != mono_time::max();
        return !entry.isDraining && (newer.isDraining || isMissing || newer.writes > entry.writes);
    }
    const auto before = removed.find(entry.id);
    return before != removed.end() && before->second.startedAtMs >= entry.bornMs;
}

/// Entries that are draining in the snapshot get no requests anyway. An entry without a write
/// number would be rejected by each instance that starts from then on, so it is not marked.
void copied_entries::addOwnMarker(const runner &entry)
{
    if (!entry.isDraining && entry.writes > 0 && ownMarkers.size() < config::maxEntryMarks)
        ownMarkers.push_back({entry.id, entry.bornMs, entry.writes});
}

void copied_entries::setCopy(const runner_map &known, const std::vector<runner> &snapshot,
                             mono_time now)
{
    forgetExpired(now);
    outdated.clear();
    ownMarkers.clear();
    rolledBackAt = now;
    for (const runner &entry : snapshot) {
        if (!isOlderThanKnown(known, entry))
            continue;
        outdated[entry.id] = {entry.bornMs, entry.writes, now, entry};
        const auto present = known.find(entry.id);
        const bool hasLeft = present == known.end() || present->second->isDraining;
        // A runner that is alive stays in use although its entry in the snapshot is older.
        if (hasLeft)
            addOwnMarker(entry);
    }
}

void copied_entries::doubt(const std::vector<entry_mark> &received, mono_time now)
{
    for (const entry_mark &marker : received) {
        const auto before = appliedMarkers.find(marker.id);
        if (before != appliedMarkers.end()
            && std::tie(before->second.bornMs, before->second.writes)
                    >= std::tie(marker.bornMs, marker.writes))
            continue;
        appliedMarkers[marker.id] = marker;
        outdated[marker.id] = {marker.bornMs, marker.writes, now, std::nullopt};
        // Also rejects it if it appears in the next snapshot.
        removed[marker.id] = {marker.bornMs, now};
    }
}

bool copied_entries::isOutdated(const runner &entry)
{
    const auto found = outdated.find(entry.id);
    if (found == outdated.end())
        return false;
    outdated_entry &rejected = found->second;
    const bool isNewer =
            std::tie(entry.bornMs, entry.writes) > std::tie(rejected.startedAtMs, rejected.writes);
    const bool wasLeaving = rejected.listed && rejected.listed->isDraining;
    if (!isNewer && (!entry.isDraining || wasLeaving)) {
        rejected.listed = entry;
        return true;
    }
    outdated.erase(found);
    return false;
}

std::vector<runner> copied_entries::takeOverdue(mono_time now)
{
    if (now - rolledBackAt >= config::copyDoubtTime)
        ownMarkers.clear();
    std::vector<runner> timedOut;
    for (auto at = outdated.begin(); at != outdated.end();) {
        const outdated_entry &one = at->second;
        if (now - one.since < config::copyDoubtTime) {
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
