#include "crashes/quarantine_manager.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/crashes/limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace poplarspool::crashes {

quarantine_manager::quarantine_manager(quarantine_dependencies given, crash_record_store store,
                                       instance_id self, clock_source clock,
                                       metrics_registry &metrics, journal &events)
    : dependencies(std::move(given)), store(std::move(store)), self(std::move(self)),
      clock(std::move(clock)), events(events),
      endsSeen(metrics.counterOf("poplarspool_gateway_runner_ends_total")),
      requestRecords(metrics.gaugeOf("poplarspool_crash_records{kind=\"request\"}")),
      partRecords(metrics.gaugeOf("poplarspool_crash_records{kind=\"part\"}")),
      judge(judgeDependencies(metrics), table)
{ }

part_judge_dependencies quarantine_manager::judgeDependencies(metrics_registry &metrics)
{
    return {self,
            dependencies.fleet,
            dependencies.send,
            dependencies.spreadRumor,
            clock,
            metrics,
            [this](const std::vector<std::uint64_t> &keys, bool isOwn) {
                recordVerdicts(keys, isOwn);
            }};
}

quarantine_manager::~quarantine_manager()
{
    stop();
}

void quarantine_manager::start()
{
    thread = startNamedThread("suspects", [this] { run(); });
}

void quarantine_manager::stopStoreAccess()
{
    const std::lock_guard lock(guard);
    isLeaving = true;
}

void quarantine_manager::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopping = true;
        changed.notify_all();
    }
    if (thread.joinable())
        thread.join();
}

std::int64_t quarantine_manager::nowMs() const
{
    return clock.wall().time_since_epoch().count();
}

std::optional<quarantine> quarantine_manager::quarantineOf(const request_suspects &suspects) const
{
    return table.quarantineOf(suspects, nowMs());
}

/// The caller's next attempt will show whether the request crashes runners. When such requests were
/// retried at once, they ended one runner after another. A part that was served before is suspected
/// later.
bool quarantine_manager::isRetryRisky(const request_suspects &suspects) const
{
    if (table.countEnds(suspects.digest).incarnations >= config::noRetryIncarnations)
        return true;
    return std::ranges::any_of(suspects.parts, [this](const part_suspect &part) {
        const std::size_t ends = table.countEnds(part.key).incarnations;
        return ends >= config::quarantineIncarnations
                || (ends >= config::noRetryIncarnations && !judge.wasServed(part.key));
    });
}

std::optional<mono_time> quarantine_manager::endNoticedAt(const observed_runner &target)
{
    const std::uint64_t key = incarnationKeyOf(target);
    if (table.endsKnown() == 0 || !table.hasEnded(key))
        return std::nullopt;
    const std::lock_guard lock(guard);
    std::erase_if(endsNoticed, [this](const auto &one) { return !table.hasEnded(one.first); });
    return endsNoticed.try_emplace(key, clock.mono()).first->second;
}

/// An incomplete response alone doesn't show that the runner has ended: connections are reset, and
/// runners may abort responses. Refused connections do show it.
void quarantine_manager::recordConnectionLost(const request_suspects &suspects,
                                              const observed_runner &target)
{
    if (table.hasEnded(incarnationKeyOf(target)) || dependencies.hasEnded(target))
        countEnd(suspects, target);
    else
        recordUnconfirmed(suspects, target);
}

void quarantine_manager::recordUnconfirmed(const request_suspects &suspects,
                                           const observed_runner &target)
{
    const std::lock_guard lock(guard);
    if (unconfirmed.size() < config::maxUnconfirmedEnds)
        unconfirmed.push_back({suspects, target, clock.mono()});
}

/// The refusal of the connection may have been lost, or another instance may have observed the end
/// of the runner meanwhile.
void quarantine_manager::resolveUnconfirmed()
{
    std::vector<unconfirmed_end> toCheck;
    {
        const std::lock_guard lock(guard);
        toCheck = std::exchange(unconfirmed, {});
    }
    std::map<std::uint64_t, bool> hasEnded;
    std::vector<unconfirmed_end> remaining;
    for (unconfirmed_end &each : toCheck) {
        const std::uint64_t key = incarnationKeyOf(each.target);
        const auto [known, isNew] = hasEnded.try_emplace(key, false);
        if (isNew)
            known->second = table.hasEnded(key) || dependencies.hasEnded(each.target);
        if (known->second)
            countEnd(each.suspects, each.target);
        else if (clock.mono() - each.seenAt < config::unconfirmedEndTime)
            remaining.push_back(std::move(each));
    }
    const std::lock_guard lock(guard);
    std::ranges::move(remaining, std::back_inserter(unconfirmed));
}

void quarantine_manager::countEnd(const request_suspects &suspects, const observed_runner &target)
{
    const std::uint64_t key = incarnationKeyOf(target);
    const std::uint64_t digest = suspects.digest;
    const ended_incarnation ended{key, nowMs()};
    if (!table.recordEnd(digest, ended))
        return;
    endsSeen.add();
    std::string partKeys;
    for (const part_suspect &part : suspects.parts)
        partKeys += (partKeys.empty() ? "" : ",") + digestText(part.key);
    events.emit("ended_under_request",
                {{"digest", digestText(digest)},
                 {"runner", target.id.text},
                 {"born", std::to_string(target.startedAtMs)},
                 {"lives", std::to_string(table.countEnds(digest).incarnations)},
                 {"part_keys", partKeys}});
    logQuarantine(digest);
    if (!suspects.parts.empty()) {
        judge.reportEnd(suspects, ended);
        judge.judge();
    }
    const std::lock_guard lock(guard);
    end_report &report = pending[key].report;
    report.ended = ended;
    report.digests.push_back(digest);
    ownKeys.insert(digest);
    hasWork = true;
    changed.notify_all();
}

void quarantine_manager::recordServed(const request_suspects &suspects,
                                      const observed_runner &target, std::uint64_t known)
{
    if (suspects.parts.empty())
        clear(suspects, known);
    else
        answers.add({suspects, target, known, clock.mono()});
}

bool quarantine_manager::hasEnded(const watched_answer &answer) const
{
    return table.endsKnown() != answer.known && table.hasEnded(incarnationKeyOf(answer.target));
}

void quarantine_manager::settleAnswers()
{
    const settled_answers settled = answers.settle(
            clock.mono(), [this](const watched_answer &each) { return hasEnded(each); });
    for (const watched_answer &each : settled.crashed)
        countEnd(each.suspects, each.target);
    for (const watched_answer &each : settled.survived)
        clear(each.suspects, each.known);
}

mono_time quarantine_manager::judgeParts()
{
    settleAnswers();
    return judge.judge();
}

void quarantine_manager::clear(const request_suspects &suspects, std::uint64_t known)
{
    const std::vector<crash_record> cleared = table.recordServed(suspects, known);
    judge.reportServed(suspects, cleared);
    for (const crash_record &one : cleared) {
        events.emit("request_cleared",
                    {{"kind", std::string(nameOf(one.kind))}, {"digest", digestText(one.key)}});
        const std::lock_guard lock(guard);
        if (one.kind == suspect_kind::Request)
            outgoing.push_back(clearedRumor(one));
        else if (one.isConvicted)
            outgoing.push_back(partRumor(one));
        ownKeys.insert(one.key);
        hasWork = true;
        changed.notify_all();
    }
}

/// Only the instance that has convicted a part writes it into the store.
void quarantine_manager::recordVerdicts(const std::vector<std::uint64_t> &keys, bool isOwn)
{
    for (const std::uint64_t key : keys)
        logQuarantine(key);
    if (isOwn) {
        const std::lock_guard lock(guard);
        ownKeys.insert(keys.begin(), keys.end());
    }
    wake();
}

void quarantine_manager::wake()
{
    const std::lock_guard lock(guard);
    hasWork = true;
    changed.notify_all();
}

bool quarantine_manager::onDatagram(std::uint64_t sender, std::string_view payload)
{
    if (!judge.receive(sender, payload))
        return false;
    judgeParts();
    return true;
}

void quarantine_manager::onRumor(const peer::rumor &rumor)
{
    const auto received = decodeCrashRecords(rumor);
    if (!succeeded(received)) {
        events.emit("rumor_ignored",
                    {{"code", std::string(nameOf(errorOf(received).code))}, {"key", rumor.key}});
        return;
    }
    if (valueOf(received).empty() || !table.merge(valueOf(received)))
        return;
    for (const crash_record &one : valueOf(received))
        logQuarantine(one.key);
    wake();
}

void quarantine_manager::recordStoreRollback()
{
    const std::lock_guard lock(guard);
    isRollbackNew = true;
}

void quarantine_manager::logQuarantine(std::uint64_t key) const
{
    const auto active = table.quarantineOf({key, {}}, nowMs());
    const auto entry = table.find(key);
    if (!active || !entry)
        return;
    std::string incarnations;
    std::set<std::uint64_t> digests;
    for (const ended_incarnation &each : entry->incarnations) {
        incarnations += (incarnations.empty() ? "" : ",") + digestText(each.incarnationKey);
        digests.insert(each.digests.begin(), each.digests.end());
    }
    std::vector<event_field> fields{{"digest", digestText(key)},
                                    {"lives", incarnations},
                                    {"for_ms", std::to_string(active->remaining.count())}};
    if (entry->kind == suspect_kind::PromptPart) {
        fields.push_back({"place", std::to_string(entry->place)});
        fields.push_back({"requests", std::to_string(digests.size())});
        fields.push_back({"was_served", entry->wasServed ? "yes" : "no"});
        fields.push_back({"others", std::to_string(table.countOthersAt(*entry))});
    }
    events.emit(std::string(nameOf(entry->kind)) + "_quarantined", std::move(fields));
}

void quarantine_manager::updateGauges()
{
    requestRecords.set(static_cast<std::int64_t>(table.countRecords(suspect_kind::Request)));
    partRecords.set(static_cast<std::int64_t>(table.countRecords(suspect_kind::PromptPart)));
}

void quarantine_manager::run()
{
    std::unique_lock lock(guard);
    while (!isStopping) {
        lock.unlock();
        runOnce();
        lock.lock();
        changed.wait_for(lock, config::quarantineInterval,
                         [this] { return isStopping || hasWork; });
        // All requests on a runner observe its end within a few milliseconds; collect them.
        if (hasWork)
            changed.wait_for(lock, config::crashUpdateBatchTime, [this] { return isStopping; });
        hasWork = false;
    }
    lock.unlock();
    sendPending();
}

/// @returns A delay of less than a second that differs between instances, for actions that all
/// would otherwise take at once.
milliseconds quarantine_manager::jitter() const
{
    const double share = toUnitInterval(hashOf(self.text));
    return milliseconds(
            std::llround(share * static_cast<double>(config::crashRewriteSpreadTime.count())));
}

/// All instances learn of a store rollback at once, so their reads and writes are spread over time.
void quarantine_manager::handleStoreRollback()
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

void quarantine_manager::runOnce()
{
    handleStoreRollback();
    resolveUnconfirmed();
    sendPending();
    updateGauges();
    const std::uint64_t fingerprint = table.fingerprintAt(nowMs());
    dependencies.setFingerprint(fingerprint);
    if (fingerprint != lastFingerprint)
        readInterval = config::initialCrashReadPause;
    lastFingerprint = fingerprint;
    bool mayAccessStore = false;
    {
        const std::lock_guard lock(guard);
        mayAccessStore = !isLeaving;
        if (ownKeys.size() > config::maxCrashRecords)
            std::erase_if(ownKeys, [this](std::uint64_t key) { return !table.find(key); });
    }
    if (mayAccessStore) {
        if (shouldReadStore())
            readStore();
        writeStore();
    }
    lastRunAt = clock.mono();
}

void quarantine_manager::sendPending()
{
    std::vector<end_report> reports;
    std::vector<peer::rumor> rumors;
    {
        const std::lock_guard lock(guard);
        for (auto &[key, each] : pending) {
            if (std::exchange(each.sentDigests, each.report.digests.size()) < each.sentDigests)
                reports.push_back(each.report);
        }
        const std::int64_t oldest = nowMs() - config::crashRumorMergeTime.count();
        std::erase_if(pending, [oldest](const auto &entry) {
            return entry.second.report.ended.endedAtMs < oldest;
        });
        rumors = std::exchange(outgoing, {});
    }
    for (const end_report &report : reports) {
        for (peer::rumor &one : rumorsOf(self, report))
            rumors.push_back(std::move(one));
    }
    for (peer::rumor &one : rumors)
        dependencies.spreadRumor(std::move(one));
}

/// @returns Whether this instance was suspended or partitioned until now. It may have missed rumors
/// that were sent meanwhile.
bool quarantine_manager::hasReconnected()
{
    const mono_time now = clock.mono();
    const bool wasSuspended = lastRunAt != mono_time{}
            && now - lastRunAt > config::quarantineInterval + config::quarantineSuspendedTime;
    const bool isPartitioned =
            now - dependencies.storeConfirmedAt() > config::quarantinePartitionTime;
    const bool isBack = std::exchange(wasPartitioned, isPartitioned) && !isPartitioned;
    return wasSuspended || isBack;
}

/// An instance may have missed rumors if it has just started, was suspended or partitioned, or if
/// another instance has a different quarantine.
bool quarantine_manager::shouldReadStore()
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
bool quarantine_manager::hasOtherFingerprint()
{
    const auto others = dependencies.fingerprints();
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
    return now - differsSince >= config::quarantineFingerprintDifferTime;
}

void quarantine_manager::readStore()
{
    readAt = clock.mono();
    readInterval =
            std::clamp(readInterval * 2, config::initialCrashReadPause, config::maxCrashReadPause);
    auto found = store.read();
    if (!succeeded(found))
        return; // The watches have logged the store failure.
    stored = std::move(valueOf(found));
    if (!table.merge(stored->records))
        return;
    for (const crash_record &one : stored->records)
        logQuarantine(one.key);
    lastFingerprint = table.fingerprintAt(nowMs());
    dependencies.setFingerprint(lastFingerprint);
}

/// Only instances that have observed an end themselves write it, so that not all write at once.
bool quarantine_manager::isOwnRecordMissingIn(const crash_record_list &list)
{
    const std::lock_guard lock(guard);
    for (const crash_record &one : table.persistentRecords()) {
        if (!rewritesAll && !ownKeys.contains(one.key))
            continue;
        const auto found = std::ranges::find(list.records, one.key, &crash_record::key);
        if (found == list.records.end() || merged(*found, one) != *found)
            return true;
    }
    return false;
}

void quarantine_manager::writeStore()
{
    if (!stored)
        return;
    if (isOwnRecordMissingIn(*stored)) {
        // Other instances may have written meanwhile.
        readStore();
        crash_record_list next = *stored;
        next.records = table.persistentRecords();
        if (next.records != stored->records) {
            const auto written = store.write(next);
            events.emit("suspects_stored",
                        {{"count", std::to_string(next.records.size())},
                         {"fault", succeeded(written) ? "" : errorOf(written).message}});
            if (!succeeded(written)) {
                stored.reset();
                readInterval = jitter();
                return;
            }
            // `stored` keeps the previous version: the list is read again before the next write,
            // which needs the revision created by this one.
            stored->records = std::move(next.records);
        }
    }
    rewritesAll = false;
}

} // namespace poplarspool::crashes
