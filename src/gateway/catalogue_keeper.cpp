#include "poplarspool/gateway/catalogue_keeper.h"

#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/route_index.h"

#include <algorithm>
#include <utility>

namespace poplarspool::gateway {

catalogue_keeper::catalogue_keeper(catalogue_hub &hub, milliseconds settleTime, clock_source clock,
                                   journal &events)
    : hub(hub), settleTime(settleTime), clock(std::move(clock)), events(events)
{ }

/// Versions only rise: a late answer must not bring back routes that were replaced since.
void catalogue_keeper::setTable(route_table table)
{
    const std::uint64_t version = table.version;
    const std::size_t routes = table.routes.size();
    const auto isNewer = [version](const catalogue &known) {
        return !known.table || known.table->version < version;
    };
    if (!isNewer(*hub.current()))
        return;
    bool isTaken = false;
    const auto shared = std::make_shared<const route_table>(std::move(table));
    const auto index = std::make_shared<const route_index>(indexOf(*shared));
    hub.update([&](catalogue &next) {
        if (!isNewer(next))
            return false;
        next.table = shared;
        next.index = index;
        isTaken = true;
        return true;
    });
    if (isTaken)
        events.emit("routes_applied",
                    {{"version", std::to_string(version)}, {"routes", std::to_string(routes)}});
}

std::shared_ptr<const route_table> catalogue_keeper::table() const
{
    return hub.current()->table;
}

void catalogue_keeper::confirmTable(mono_time at)
{
    hub.update([at](catalogue &next) {
        next.tableConfirmedAt = at;
        return true;
    });
}

void catalogue_keeper::confirmRunners(mono_time at, store_version version)
{
    hub.update([at, version](catalogue &next) {
        next.runnersConfirmedAt = at;
        next.runnersVersion = version;
        return true;
    });
}

/// While the store is away, runners can't renew their entries, and the store drops them although
/// they live. An instance that believed this at once would have nobody left to send to, just when
/// the store is back. They renew within about two seconds of its return. Only what is missing at
/// the return is forgiven: a runner that is taken away later is on its way out, and the bound for
/// leaving it alone runs.
bool catalogue_keeper::isForgiving() const
{
    const mono_time now = clock.mono();
    return backAt != mono_time{} && now - backAt < config::entryLapseTime && now < forgivenUntil;
}

void catalogue_keeper::noteStoreLost(mono_time askedAt)
{
    if (lostAt == mono_time{})
        lostAt = clock.mono();
    failedAt = std::max(failedAt, askedAt);
}

/// An instance that was itself cut off can't tell that from an outage, and runners that left
/// meanwhile are really gone. It notices late that the cut is over: counted from then alone, it
/// sent to them for longer than news may be late. The end lies after the last call that failed was
/// sent, so that a time counted from there is short enough in either case.
void catalogue_keeper::noteStoreAnswer()
{
    if (lostAt == mono_time{})
        return;
    const mono_time now = clock.mono();
    if (now - lostAt >= config::storeOutageTime)
        forgiveFrom(failedAt);
    lostAt = {};
}

void catalogue_keeper::forgiveFrom(mono_time lastTroubleAt)
{
    backAt = clock.mono();
    forgivenUntil = std::min(backAt + config::entryReturnTime,
                             lastTroubleAt + settleTime - config::forgivenMargin);
    events.emit("lapses_forgiven",
                {{"lost_ms", lostAt == mono_time{} ? "" : millisecondsText(backAt - lostAt)},
                 {"failed_ms_ago", millisecondsText(backAt - lastTroubleAt)},
                 {"for_ms", millisecondsText(forgivenUntil - backAt)}});
}

/// Runners that entered themselves since the copy was made are missing in it, and live: they write
/// again, like those whose entries lapsed.
void catalogue_keeper::noteOlderCopy(mono_time lastSeenAt)
{
    forgiveFrom(std::max(failedAt, lastSeenAt));
    lostAt = {};
    isCopyNext = true;
    hasSeenCopy = true;
}

/// The marks may be here before the list that they are about. Whoever has seen the store go back
/// judges by itself: what it has come to believe since must not be doubted anew.
void catalogue_keeper::doubt(const std::vector<entry_mark> &told)
{
    if (hasSeenCopy || told.empty())
        return;
    copies.doubt(told, clock.mono());
    hub.update([&](catalogue &next) {
        bool isChanged = false;
        for (const entry_mark &mark : told) {
            const auto found = next.runners.find(mark.id);
            if (found == next.runners.end() || !copies.isOutdated(*found->second))
                continue;
            events.emit("runner_doubted",
                        {{"runner", mark.id.text}, {"writes", std::to_string(mark.writes)}});
            next.runners.erase(found);
            isChanged = true;
        }
        return isChanged;
    });
}

void catalogue_keeper::takeAway(catalogue &next, const runner_id &id)
{
    const auto found = next.runners.find(id);
    copies.forget(id);
    if (found == next.runners.end() || missing.contains(id))
        return;
    // One that was leaving anyway has no reason to come back.
    if (!isForgiving() || found->second->isDraining)
        return drop(next, id);
    runner kept = *found->second;
    kept.keptUntil = forgivenUntil;
    found->second = std::make_shared<const runner>(std::move(kept));
    missing.insert(id);
    events.emit("runner_missing",
                {{"runner", id.text}, {"kept_ms", millisecondsText(forgivenUntil - clock.mono())}});
}

void catalogue_keeper::drop(catalogue &next, const runner_id &id)
{
    const auto found = next.runners.find(id);
    if (found == next.runners.end())
        return;
    events.emit("runner_gone", {{"runner", id.text}, {"address", textOf(found->second->address)}});
    copies.noteGone(*found->second, clock.mono());
    next.runners.erase(found);
}

void catalogue_keeper::setRunners(const std::vector<runner> &listed)
{
    hub.update([&](catalogue &next) {
        if (std::exchange(isCopyNext, false))
            copies.setCopy(next.runners, listed, clock.mono());
        std::set<runner_id> present;
        for (const runner &entry : listed) {
            present.insert(entry.id);
            if (copies.isOutdated(entry))
                continue;
            missing.erase(entry.id);
            next.runners[entry.id] = std::make_shared<const runner>(entry);
        }
        std::vector<runner_id> absent;
        for (const auto &known : next.runners) {
            if (!present.contains(known.first))
                absent.push_back(known.first);
        }
        for (const runner_id &id : absent)
            takeAway(next, id);
        next.areRunnersKnown = true;
        return true;
    });
    events.emit("runners_listed",
                {{"count", std::to_string(listed.size())},
                 {"outdated", std::to_string(copies.countOutdated())}});
}

void catalogue_keeper::put(catalogue &next, const runner &entry)
{
    if (copies.isOutdated(entry))
        return;
    missing.erase(entry.id);
    std::shared_ptr<const runner> &known = next.runners[entry.id];
    if (known && *known == entry)
        return;
    known = std::make_shared<const runner>(entry);
    events.emit("runner_entry",
                {{"runner", entry.id.text},
                 {"address", textOf(entry.address)},
                 {"stage", std::string(nameOf(entry.stage))},
                 {"draining", entry.isDraining ? "yes" : "no"},
                 {"born", std::to_string(entry.bornMs)},
                 {"writes", std::to_string(entry.writes)}});
}

void catalogue_keeper::takeChanges(const std::vector<runner_change> &changes)
{
    hub.update([&](catalogue &next) {
        for (const runner_change &change : changes) {
            if (change.entry)
                put(next, *change.entry);
            else
                takeAway(next, change.id);
        }
        return true;
    });
}

void catalogue_keeper::settle()
{
    const std::vector<runner> believed = copies.takeOverdue(clock.mono());
    if (!believed.empty()) {
        hub.update([&](catalogue &next) {
            for (const runner &entry : believed)
                put(next, entry);
            return true;
        });
    }
    if (missing.empty() || clock.mono() < forgivenUntil)
        return;
    const auto overdue = std::exchange(missing, {});
    hub.update([&](catalogue &next) {
        for (const runner_id &id : overdue)
            drop(next, id);
        return true;
    });
}

} // namespace poplarspool::gateway
