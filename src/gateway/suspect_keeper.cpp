#include "gateway/suspect_keeper.h"

#include "gateway/envelope.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace poplarspool::gateway {

suspect_keeper::suspect_keeper(suspect_tools tools, suspect_store store, instance_id self,
                               clock_source clock, metrics_registry &metrics, journal &events)
    : tools(std::move(tools)), store(std::move(store)), self(std::move(self)),
      clock(std::move(clock)), events(events),
      endsSeen(metrics.counterOf("poplarspool_gateway_runner_ends_total"))
{ }

suspect_keeper::~suspect_keeper()
{
    stop();
}

void suspect_keeper::start()
{
    thread = startNamed("suspects", [this] { run(); });
}

void suspect_keeper::leave()
{
    const std::lock_guard lock(guard);
    isLeaving = true;
}

void suspect_keeper::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopping = true;
        changed.notify_all();
    }
    if (thread.joinable())
        thread.join();
}

std::int64_t suspect_keeper::nowMs() const
{
    return clock.wall().time_since_epoch().count();
}

std::optional<quarantine> suspect_keeper::quarantineOf(std::uint64_t digest) const
{
    return table.quarantineOf(digest, nowMs());
}

/// An incomplete response alone doesn't show that the runner has ended: connections are reset, and
/// runners may abort responses. Refused connections do show it.
void suspect_keeper::noteBroken(std::uint64_t digest, const runner &target)
{
    if (table.hasEnded(lifeKeyOf(target)) || tools.isRefused(target.address))
        countEnd(digest, target);
    else
        noteDoubt(digest, target);
}

void suspect_keeper::noteDoubt(std::uint64_t digest, const runner &target)
{
    const std::lock_guard lock(guard);
    if (unconfirmed.size() < config::maxSuspectDoubts)
        unconfirmed.push_back({digest, target, clock.mono()});
}

/// The refusal of the connection may have been lost, or another instance may have observed the end
/// of the runner meanwhile.
void suspect_keeper::resolveUnconfirmed()
{
    std::vector<unconfirmed_end> toCheck;
    {
        const std::lock_guard lock(guard);
        toCheck = std::exchange(unconfirmed, {});
    }
    std::map<std::uint64_t, bool> hasEnded;
    std::vector<unconfirmed_end> remaining;
    for (unconfirmed_end &each : toCheck) {
        const std::uint64_t key = lifeKeyOf(each.target);
        const auto [known, isNew] = hasEnded.try_emplace(key, false);
        if (isNew)
            known->second = table.hasEnded(key) || tools.isRefused(each.target.address);
        if (known->second)
            countEnd(each.digest, each.target);
        else if (clock.mono() - each.seenAt < config::suspectDoubtTime)
            remaining.push_back(std::move(each));
    }
    const std::lock_guard lock(guard);
    std::ranges::move(remaining, std::back_inserter(unconfirmed));
}

void suspect_keeper::countEnd(std::uint64_t digest, const runner &target)
{
    const std::uint64_t key = lifeKeyOf(target);
    const ended_life ended{key, nowMs()};
    if (!table.noteEnded(digest, ended))
        return;
    endsSeen.add();
    events.emit("ended_under_request",
                {{"digest", digestText(digest)},
                 {"runner", target.id.text},
                 {"born", std::to_string(target.bornMs)},
                 {"lives", std::to_string(table.countLives(digest))}});
    logQuarantine(digest);
    const std::lock_guard lock(guard);
    end_report &report = pending[key].report;
    report.life = ended;
    report.digests.push_back(digest);
    ownDigests.insert(digest);
    hasWork = true;
    changed.notify_all();
}

void suspect_keeper::noteServed(std::uint64_t digest)
{
    const std::int64_t now = nowMs();
    if (!table.noteServed(digest, now))
        return;
    events.emit("request_cleared", {{"digest", digestText(digest)}});
    const std::lock_guard lock(guard);
    outgoing.push_back(servedRumor(digest, now));
    ownDigests.insert(digest);
    hasWork = true;
    changed.notify_all();
}

void suspect_keeper::take(const peer::rumor &rumor)
{
    const auto received = suspectsIn(rumor);
    if (!succeeded(received)) {
        events.emit("rumor_ignored",
                    {{"code", std::string(nameOf(errorOf(received).code))}, {"key", rumor.key}});
        return;
    }
    if (valueOf(received).empty() || !table.join(valueOf(received)))
        return;
    for (const suspect &one : valueOf(received))
        logQuarantine(one.digest);
    const std::lock_guard lock(guard);
    hasWork = true;
    changed.notify_all();
}

void suspect_keeper::restore()
{
    const std::lock_guard lock(guard);
    isRollbackNew = true;
}

void suspect_keeper::logQuarantine(std::uint64_t digest) const
{
    const auto active = quarantineOf(digest);
    const auto entry = table.find(digest);
    if (!active || !entry)
        return;
    std::string lives;
    for (const ended_life &each : entry->lives)
        lives += (lives.empty() ? "" : ",") + digestText(each.life);
    events.emit("request_quarantined",
                {{"digest", digestText(digest)},
                 {"lives", lives},
                 {"for_ms", std::to_string(active->left.count())}});
}

void suspect_keeper::run()
{
    std::unique_lock lock(guard);
    while (!isStopping) {
        lock.unlock();
        runOnce();
        lock.lock();
        changed.wait_for(lock, config::suspectLookTime, [this] { return isStopping || hasWork; });
        // All requests on a runner observe its end within a few milliseconds; collect them.
        if (hasWork)
            changed.wait_for(lock, config::suspectGatherTime, [this] { return isStopping; });
        hasWork = false;
    }
    lock.unlock();
    sendPending();
}

/// @returns A delay of less than a second that differs between instances, for actions that all
/// would otherwise take at once.
milliseconds suspect_keeper::jitter() const
{
    const double share = unitOf(hashOf(self.text));
    return milliseconds(std::llround(share * static_cast<double>(config::enterSpreadTime.count())));
}

/// All instances learn of a store rollback at once, so their reads and writes are spread over time.
void suspect_keeper::handleStoreRollback()
{
    {
        const std::lock_guard lock(guard);
        if (!std::exchange(isRollbackNew, false))
            return;
    }
    rewritesAll = true;
    stored.reset();
    readAt = clock.mono();
    readInterval = jitter();
}

void suspect_keeper::runOnce()
{
    handleStoreRollback();
    resolveUnconfirmed();
    sendPending();
    const std::uint64_t fingerprint = table.markAt(nowMs());
    tools.setMark(fingerprint);
    if (fingerprint != lastFingerprint)
        readInterval = config::suspectReadPauseFirst;
    lastFingerprint = fingerprint;
    bool mayAskStore = false;
    {
        const std::lock_guard lock(guard);
        mayAskStore = !isLeaving;
        if (ownDigests.size() > config::maxSuspects)
            std::erase_if(ownDigests, [this](std::uint64_t digest) { return !table.find(digest); });
    }
    if (mayAskStore) {
        if (shouldReadStore())
            readStore();
        writeStore();
    }
    lastRunAt = clock.mono();
}

void suspect_keeper::sendPending()
{
    std::vector<end_report> reports;
    std::vector<peer::rumor> rumors;
    {
        const std::lock_guard lock(guard);
        for (auto &[key, each] : pending) {
            if (std::exchange(each.sentDigests, each.report.digests.size()) < each.sentDigests)
                reports.push_back(each.report);
        }
        const std::int64_t oldest = nowMs() - config::suspectReportTime.count();
        std::erase_if(pending, [oldest](const auto &entry) {
            return entry.second.report.life.endedMs < oldest;
        });
        rumors = std::exchange(outgoing, {});
    }
    for (const end_report &report : reports) {
        for (peer::rumor &one : rumorsOf(self, report))
            rumors.push_back(std::move(one));
    }
    for (peer::rumor &one : rumors)
        tools.spread(std::move(one));
}

/// @returns Whether this instance was suspended or partitioned until now. It may have missed rumors
/// that were sent meanwhile.
bool suspect_keeper::hasReconnected()
{
    const mono_time now = clock.mono();
    const bool wasSuspended = lastRunAt != mono_time{}
            && now - lastRunAt > config::suspectLookTime + config::suspectSuspended;
    const bool isPartitioned = now - tools.confirmedAt() > config::suspectCutOff;
    const bool isBack = std::exchange(wasPartitioned, isPartitioned) && !isPartitioned;
    return wasSuspended || isBack;
}

/// An instance may have missed rumors if it has just started, was suspended or partitioned, or if
/// another instance has a different quarantine.
bool suspect_keeper::shouldReadStore()
{
    const mono_time now = clock.mono();
    if (hasReconnected())
        return true;
    if (now - readAt < readInterval)
        return false;
    if (!stored)
        return true;
    return hasOtherFingerprint();
}

/// @returns Whether the quarantine of another instance has differed from the own one for a while.
bool suspect_keeper::hasOtherFingerprint()
{
    const auto others = tools.marks();
    const bool differs = std::ranges::any_of(others, [this](std::uint64_t fingerprint) {
        return fingerprint != 0 && fingerprint != lastFingerprint;
    });
    if (!differs) {
        differsSince = {};
        return false;
    }
    const mono_time now = clock.mono();
    if (differsSince == mono_time{})
        differsSince = now;
    return now - differsSince >= config::suspectDifferTime;
}

void suspect_keeper::readStore()
{
    readAt = clock.mono();
    readInterval = std::clamp(readInterval * 2, config::suspectReadPauseFirst,
                              config::suspectReadPauseMost);
    auto found = store.read();
    if (!succeeded(found))
        return; // The watches have logged the store failure.
    stored = std::move(valueOf(found));
    if (!table.join(stored->suspects))
        return;
    for (const suspect &one : stored->suspects)
        logQuarantine(one.digest);
    lastFingerprint = table.markAt(nowMs());
    tools.setMark(lastFingerprint);
}

/// Only instances that have observed an end themselves write it, so that not all write at once.
bool suspect_keeper::isOwnRecordMissingIn(const suspect_list &list)
{
    const std::lock_guard lock(guard);
    for (const suspect &one : table.lasting()) {
        if (!rewritesAll && !ownDigests.contains(one.digest))
            continue;
        const auto found = std::ranges::find(list.suspects, one.digest, &suspect::digest);
        if (found == list.suspects.end() || joined(*found, one) != *found)
            return true;
    }
    return false;
}

void suspect_keeper::writeStore()
{
    if (!stored)
        return;
    if (isOwnRecordMissingIn(*stored)) {
        // Other instances may have written meanwhile.
        readStore();
        suspect_list next = *stored;
        next.suspects = table.lasting();
        if (next.suspects != stored->suspects) {
            const auto written = store.write(next);
            events.emit("suspects_stored",
                        {{"count", std::to_string(next.suspects.size())},
                         {"fault", succeeded(written) ? "" : errorOf(written).message}});
            if (!succeeded(written)) {
                stored.reset();
                readInterval = jitter();
                return;
            }
            // `stored` keeps the previous version: the list is read again before the next write,
            // which needs the revision created by this one.
            stored->suspects = std::move(next.suspects);
        }
    }
    rewritesAll = false;
}

} // namespace poplarspool::gateway
