#include "poplarspool/gateway/catalogue_updater.h"

#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/route_index.h"
#include "poplarspool/streams/limits.h"

#include <algorithm>
#include <utility>

namespace poplarspool::gateway {

catalogue_updater::catalogue_updater(catalogue_publisher &publisher, milliseconds settleTime,
                                     clock_source clock, journal &events,
                                     std::function<bool(const runner &)> isLeaving,
                                     std::function<void(const route_table &)> onTable)
    : publisher(publisher), settleTime(settleTime), clock(std::move(clock)), events(events),
      isLeaving(std::move(isLeaving)), onTable(std::move(onTable))
{ }

/// Versions only increase: a delayed answer must not restore routes that have been replaced since.
void catalogue_updater::setTable(route_table table)
{
    const std::uint64_t version = table.version;
    const std::size_t routes = table.routes.size();
    const auto isNewer = [version](const catalogue &known) {
        return !known.table || known.table->version < version;
    };
    if (!isNewer(*publisher.current()))
        return;
    bool isApplied = false;
    const auto shared = std::make_shared<const route_table>(std::move(table));
    const auto index = std::make_shared<const route_index>(buildRouteIndex(*shared));
    publisher.update([&](catalogue &next) {
        if (!isNewer(next))
            return false;
        next.table = shared;
        next.index = index;
        isApplied = true;
        return true;
    });
    if (!isApplied)
        return;
    if (onTable)
        onTable(*shared);
    events.emit("routes_applied",
                {{"version", std::to_string(version)}, {"routes", std::to_string(routes)}});
}

std::shared_ptr<const route_table> catalogue_updater::table() const
{
    return publisher.current()->table;
}

void catalogue_updater::confirmTable(mono_time at)
{
    publisher.update([at](catalogue &next) {
        next.tableConfirmedAt = at;
        return true;
    });
}

/// Runners that have come and gone since the last confirmation are in no list and in no change:
/// after a long time without one, it isn't known any more which versions there have been.
void catalogue_updater::confirmRunners(mono_time at, store_version version)
{
    const mono_time now = clock.mono();
    publisher.update([&](catalogue &next) {
        if (now - next.runnersConfirmedAt > config::maxUnseenRunnerTime) {
            sole_version_map versions = *next.soleVersions;
            for (auto &entry : versions)
                entry.second.since = now;
            next.soleVersions = std::make_shared<const sole_version_map>(std::move(versions));
        }
        next.runnersConfirmedAt = at;
        next.runnersVersion = version;
        return true;
    });
}

/// While the store is unavailable, runners can't renew their entries, and the store expires them
/// although the runners are alive. An instance that removed them at once would have no runners left
/// just when the store has recovered. Runners renew their entries within about two seconds of the
/// recovery. The grace period applies only to entries that are missing right after the recovery: a
/// runner that is removed later is shutting down, and must get no requests after the time allowed
/// for updates to arrive.
bool catalogue_updater::isInGracePeriod() const
{
    const mono_time now = clock.mono();
    return recoveredAt != mono_time{} && now - recoveredAt < config::entryExpiryTime
            && now < graceEndsAt;
}

void catalogue_updater::recordStoreFailure(mono_time sentAt)
{
    if (failingSince == mono_time{})
        failingSince = clock.mono();
    lastFailureSentAt = std::max(lastFailureSentAt, sentAt);
}

/// An instance that was itself partitioned can't distinguish this from an outage of the store, and
/// runners that left meanwhile are really gone. It also notices late that the partition has ended:
/// a grace period counted from that moment let it send to them for longer than updates may be
/// delayed. Partitions and outages end after the last failed call was sent, so the time is counted
/// from there.
void catalogue_updater::recordStoreAnswer()
{
    if (failingSince == mono_time{})
        return;
    const mono_time now = clock.mono();
    if (now - failingSince >= config::storeOutageThreshold) {
        startGracePeriod(lastFailureSentAt);
        entryFilter.restartTimeouts(now);
    }
    failingSince = {};
}

void catalogue_updater::startGracePeriod(mono_time outageSeenAt)
{
    recoveredAt = clock.mono();
    graceEndsAt = std::min(recoveredAt + config::entryReturnGracePeriod,
                           outageSeenAt + settleTime - config::gracePeriodMargin);
    events.emit("lapses_forgiven",
                {{"lost_ms",
                  failingSince == mono_time{} ? "" : millisecondsText(recoveredAt - failingSince)},
                 {"failed_ms_ago", millisecondsText(recoveredAt - outageSeenAt)},
                 {"for_ms", millisecondsText(graceEndsAt - recoveredAt)}});
}

/// Runners that registered after the snapshot was made are missing in it although they are alive.
/// They write their entries again, like those whose entries have expired.
void catalogue_updater::recordStoreRollback(mono_time lastSeenAt)
{
    startGracePeriod(std::max(lastFailureSentAt, lastSeenAt));
    failingSince = {};
    isSnapshotNext = true;
    hasSeenRollback = true;
}

/// The markers may arrive before the list that they refer to. An instance that has observed the
/// store rollback itself ignores them: entries that it has accepted since must not be rejected
/// again.
void catalogue_updater::applyOutdatedMarkers(const std::vector<outdated_entry_marker> &received)
{
    if (hasSeenRollback || received.empty())
        return;
    updateRunners([&](runner_set &runners) {
        for (const runner_id &id : entryFilter.addMarkers(runners, received, clock.mono())) {
            events.emit("runner_doubted", {{"runner", id.text}});
            runners.erase(id);
        }
    });
}

void catalogue_updater::updateRunners(const std::function<void(runner_set &)> &change)
{
    publisher.update([&](catalogue &next) {
        auto runners = std::make_shared<runner_set>(*next.runners);
        change(*runners);
        const auto versions = updateSoleVersions(*next.soleVersions, *runners, clock.mono());
        if (versions != *next.soleVersions)
            next.soleVersions = std::make_shared<const sole_version_map>(versions);
        next.runners = std::move(runners);
        return true;
    });
}

void catalogue_updater::handleRemoval(runner_set &runners, const runner_id &id, entry_state state)
{
    const runner_entry known = runners.find(id);
    entryFilter.forget(id);
    if (!known || missing.contains(id))
        return;
    // A draining runner was leaving anyway and has no reason to come back.
    if (!isInGracePeriod() || known->isDraining)
        return removeRunner(runners, id, state);
    runner kept = *known;
    kept.retainedUntil = graceEndsAt;
    runners.put(std::make_shared<const runner>(std::move(kept)));
    missing.insert(id);
    events.emit("runner_missing",
                {{"runner", id.text}, {"kept_ms", millisecondsText(graceEndsAt - clock.mono())}});
}

void catalogue_updater::removeRunner(runner_set &runners, const runner_id &id, entry_state state)
{
    const runner_entry known = runners.find(id);
    if (!known)
        return;
    events.emit("runner_gone",
                {{"runner", id.text},
                 {"address", textOf(known->address)},
                 {"why", std::string(nameOf(state))},
                 {"born", std::to_string(known->startedAtMs)},
                 {"writes", std::to_string(known->writes)}});
    entryFilter.recordRemoval(*known, state, clock.mono());
    runners.erase(id);
}

/// Entries that were written before the runner began to leave arrive late: a heartbeat, or one that
/// another instance relays. While the store is away, no other arrives at all.
runner catalogue_updater::withOwnWord(runner entry) const
{
    entry.isDraining = entry.isDraining || (isLeaving && isLeaving(entry));
    return entry;
}

void catalogue_updater::applyLeaving(const runner_id &id)
{
    const runner_entry known = publisher.current()->runners->find(id);
    if (!known || known->isDraining)
        return;
    updateRunners([&](runner_set &runners) {
        if (const runner_entry listed = runners.find(id))
            runners.put(std::make_shared<const runner>(withOwnWord(*listed)));
    });
}

void catalogue_updater::setRunners(const std::vector<runner> &listed,
                                   const std::set<runner_id> &unreadable)
{
    updateRunners([&](runner_set &runners) {
        const bool isSnapshot = std::exchange(isSnapshotNext, false);
        if (isSnapshot)
            entryFilter.applySnapshot(runners, listed, clock.mono());
        std::set<runner_id> present;
        for (const runner &each : listed) {
            present.insert(each.id);
            if (!isSnapshot)
                putRunner(runners, each);
            else if (entryFilter.acceptsFromSnapshot(each))
                useEntry(runners, each);
        }
        std::vector<runner_id> absent;
        runners.forEach([&](const runner_entry &known) {
            if (!present.contains(known->id))
                absent.push_back(known->id);
        });
        for (const runner_id &id : absent)
            handleRemoval(runners, id,
                          unreadable.contains(id) ? entry_state::Unreadable : entry_state::Removed);
    });
    publisher.update([](catalogue &next) { return !std::exchange(next.areRunnersKnown, true); });
    events.emit("runners_listed",
                {{"count", std::to_string(listed.size())},
                 {"outdated", std::to_string(entryFilter.countOutdated())}});
}

/// Tells a late write from one that is missing: the entry's own counts beside those known.
void catalogue_updater::logOutdated(const runner_set &runners, const runner &written) const
{
    const auto latest = entryFilter.latestOf(runners, written.id);
    const known_entry known = latest.value_or(known_entry{});
    events.emit("runner_entry_outdated",
                {{"runner", written.id.text},
                 {"draining", written.isDraining ? "yes" : "no"},
                 {"born", std::to_string(written.startedAtMs)},
                 {"writes", std::to_string(written.writes)},
                 {"known", std::string(nameOf(known.state))},
                 {"known_born", std::to_string(known.startedAtMs)},
                 {"known_writes", std::to_string(known.writes)}});
}

bool catalogue_updater::putRunner(runner_set &runners, const runner &written)
{
    if (entryFilter.accepts(runners, written, clock.mono()))
        return useEntry(runners, written);
    logOutdated(runners, written);
    return false;
}

bool catalogue_updater::useEntry(runner_set &runners, const runner &written)
{
    const auto latest = entryFilter.latestOf(runners, written.id);
    const runner entry = withOwnWord(latest ? withKnownCounts(written, *latest) : written);
    missing.erase(entry.id);
    const runner_entry known = runners.find(entry.id);
    if (known && *known == entry)
        return false;
    runners.put(std::make_shared<const runner>(entry));
    return true;
}

void catalogue_updater::logEntry(const runner_set &runners, const runner_id &id) const
{
    const runner_entry entry = runners.find(id);
    events.emit("runner_entry",
                {{"runner", id.text},
                 {"address", textOf(entry->address)},
                 {"version", entry->version.text},
                 {"stage", std::string(nameOf(entry->stage))},
                 {"draining", entry->isDraining ? "yes" : "no"},
                 {"born", std::to_string(entry->startedAtMs)},
                 {"writes", std::to_string(entry->writes)}});
}

void catalogue_updater::applyChanges(const std::vector<runner_change> &changes)
{
    if (changes.empty())
        return;
    updateRunners([&](runner_set &runners) {
        for (const runner_change &change : changes) {
            if (!change.entry)
                handleRemoval(runners, change.id,
                              change.isUnreadable ? entry_state::Unreadable : entry_state::Removed);
            else if (putRunner(runners, *change.entry))
                logEntry(runners, change.id);
        }
    });
}

void catalogue_updater::applyTimeouts()
{
    const std::vector<runner> accepted = entryFilter.takeTimedOut(clock.mono());
    if (!accepted.empty()) {
        updateRunners([&](runner_set &runners) {
            for (const runner &entry : accepted) {
                if (useEntry(runners, entry))
                    logEntry(runners, entry.id);
            }
        });
    }
    if (missing.empty() || clock.mono() < graceEndsAt)
        return;
    const auto expired = std::exchange(missing, {});
    updateRunners([&](runner_set &runners) {
        for (const runner_id &id : expired)
            removeRunner(runners, id, entry_state::Expired);
    });
}

} // namespace poplarspool::gateway
