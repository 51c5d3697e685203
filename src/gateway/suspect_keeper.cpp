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
    return book.quarantineOf(digest, nowMs());
}

/// A broken answer alone says little: connections are reset, and runners break off answers. That
/// nobody listens there any more says that the runner has ended.
void suspect_keeper::noteBroken(std::uint64_t digest, const runner &target)
{
    if (book.hasEnded(lifeKeyOf(target)) || tools.isRefused(target.address))
        count(digest, target);
    else
        noteDoubt(digest, target);
}

void suspect_keeper::noteDoubt(std::uint64_t digest, const runner &target)
{
    const std::lock_guard lock(guard);
    if (doubts.size() < config::maxSuspectDoubts)
        doubts.push_back({digest, target, clock.mono()});
}

/// The word of the host may have been lost, or another instance has seen the runner's end.
void suspect_keeper::settleDoubts()
{
    std::vector<doubt> open;
    {
        const std::lock_guard lock(guard);
        open = std::exchange(doubts, {});
    }
    std::map<std::uint64_t, bool> hasEnded;
    std::vector<doubt> left;
    for (doubt &each : open) {
        const std::uint64_t life = lifeKeyOf(each.target);
        const auto [known, isNew] = hasEnded.try_emplace(life, false);
        if (isNew)
            known->second = book.hasEnded(life) || tools.isRefused(each.target.address);
        if (known->second)
            count(each.digest, each.target);
        else if (clock.mono() - each.seenAt < config::suspectDoubtTime)
            left.push_back(std::move(each));
    }
    const std::lock_guard lock(guard);
    std::ranges::move(left, std::back_inserter(doubts));
}

void suspect_keeper::count(std::uint64_t digest, const runner &target)
{
    const std::uint64_t life = lifeKeyOf(target);
    const ended_life ended{life, nowMs()};
    if (!book.noteEnded(digest, ended))
        return;
    endsSeen.add();
    events.emit("ended_under_request",
                {{"digest", digestText(digest)},
                 {"runner", target.id.text},
                 {"born", std::to_string(target.bornMs)},
                 {"lives", std::to_string(book.countLives(digest))}});
    logJudgement(digest);
    const std::lock_guard lock(guard);
    end_report &report = pending[life].report;
    report.life = ended;
    report.digests.push_back(digest);
    own.insert(digest);
    isWoken = true;
    changed.notify_all();
}

void suspect_keeper::noteServed(std::uint64_t digest)
{
    const std::int64_t now = nowMs();
    if (!book.noteServed(digest, now))
        return;
    events.emit("request_cleared", {{"digest", digestText(digest)}});
    const std::lock_guard lock(guard);
    waiting.push_back(servedRumor(digest, now));
    own.insert(digest);
    isWoken = true;
    changed.notify_all();
}

void suspect_keeper::take(const peer::rumor &news)
{
    const auto told = suspectsIn(news);
    if (!succeeded(told)) {
        events.emit("rumor_ignored",
                    {{"code", std::string(nameOf(errorOf(told).code))}, {"key", news.key}});
        return;
    }
    if (valueOf(told).empty() || !book.join(valueOf(told)))
        return;
    for (const suspect &one : valueOf(told))
        logJudgement(one.digest);
    const std::lock_guard lock(guard);
    isWoken = true;
    changed.notify_all();
}

void suspect_keeper::restore()
{
    const std::lock_guard lock(guard);
    isCopyNew = true;
}

void suspect_keeper::logJudgement(std::uint64_t digest) const
{
    const auto kept = quarantineOf(digest);
    const auto entry = book.find(digest);
    if (!kept || !entry)
        return;
    std::string lives;
    for (const ended_life &each : entry->lives)
        lives += (lives.empty() ? "" : ",") + digestText(each.life);
    events.emit("request_quarantined",
                {{"digest", digestText(digest)},
                 {"lives", lives},
                 {"for_ms", std::to_string(kept->left.count())}});
}

void suspect_keeper::run()
{
    std::unique_lock lock(guard);
    while (!isStopping) {
        lock.unlock();
        look();
        lock.lock();
        changed.wait_for(lock, config::suspectLookTime, [this] { return isStopping || isWoken; });
        // All that ran at a runner see its end within some milliseconds.
        if (isWoken)
            changed.wait_for(lock, config::suspectGatherTime, [this] { return isStopping; });
        isWoken = false;
    }
    lock.unlock();
    tellPending();
}

/// @returns A part of a second, another one at each instance, for what all would do at once.
milliseconds suspect_keeper::spreadTime() const
{
    const double share = unitOf(hashOf(self.text));
    return milliseconds(std::llround(share * static_cast<double>(config::enterSpreadTime.count())));
}

/// All instances notice at once; their reads and writes are spread.
void suspect_keeper::noticeCopy()
{
    {
        const std::lock_guard lock(guard);
        if (!std::exchange(isCopyNew, false))
            return;
    }
    restoresAll = true;
    stored.reset();
    readAt = clock.mono();
    readPause = spreadTime();
}

void suspect_keeper::look()
{
    noticeCopy();
    settleDoubts();
    tellPending();
    const std::uint64_t mark = book.markAt(nowMs());
    tools.setMark(mark);
    if (mark != markSeen)
        readPause = config::suspectReadPauseFirst;
    markSeen = mark;
    bool mayAskStore = false;
    {
        const std::lock_guard lock(guard);
        mayAskStore = !isLeaving;
        if (own.size() > config::maxSuspects)
            std::erase_if(own, [this](std::uint64_t digest) { return !book.find(digest); });
    }
    if (mayAskStore) {
        if (mustRead())
            readStore();
        writeStore();
    }
    lookedAt = clock.mono();
}

void suspect_keeper::tellPending()
{
    std::vector<end_report> reports;
    std::vector<peer::rumor> rumors;
    {
        const std::lock_guard lock(guard);
        for (auto &[life, each] : pending) {
            if (std::exchange(each.told, each.report.digests.size()) < each.told)
                reports.push_back(each.report);
        }
        const std::int64_t oldest = nowMs() - config::suspectReportTime.count();
        std::erase_if(pending, [oldest](const auto &entry) {
            return entry.second.report.life.endedMs < oldest;
        });
        rumors = std::exchange(waiting, {});
    }
    for (const end_report &report : reports) {
        for (peer::rumor &one : rumorsOf(self, report))
            rumors.push_back(std::move(one));
    }
    for (peer::rumor &one : rumors)
        tools.spread(std::move(one));
}

/// @returns Whether it was suspended or cut off until now: rumors don't wait for it.
bool suspect_keeper::isBackInTouch()
{
    const mono_time now = clock.mono();
    const bool wasSuspended = lookedAt != mono_time{}
            && now - lookedAt > config::suspectLookTime + config::suspectSuspended;
    const bool isCutOff = now - tools.confirmedAt() > config::suspectCutOff;
    const bool isBack = std::exchange(wasCutOff, isCutOff) && !isCutOff;
    return wasSuspended || isBack;
}

/// An instance that starts, was away, or sees that another one has something else in
/// quarantine may have missed rumors.
bool suspect_keeper::mustRead()
{
    const mono_time now = clock.mono();
    if (isBackInTouch())
        return true;
    if (now - readAt < readPause)
        return false;
    if (!stored)
        return true;
    return hasOthersMark();
}

/// @returns Whether another instance has had something else in quarantine for a while.
bool suspect_keeper::hasOthersMark()
{
    const auto marks = tools.marks();
    const bool differs = std::ranges::any_of(
            marks, [this](std::uint64_t mark) { return mark != 0 && mark != markSeen; });
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
    readPause =
            std::clamp(readPause * 2, config::suspectReadPauseFirst, config::suspectReadPauseMost);
    auto found = store.read();
    if (!succeeded(found))
        return; // The watches have logged that the store is away.
    stored = std::move(valueOf(found));
    if (!book.join(stored->suspects))
        return;
    for (const suspect &one : stored->suspects)
        logJudgement(one.digest);
    markSeen = book.markAt(nowMs());
    tools.setMark(markSeen);
}

/// Only who has seen an end itself writes of it, so that not all write at once.
bool suspect_keeper::isOwnMissingIn(const suspect_list &list)
{
    const std::lock_guard lock(guard);
    for (const suspect &one : book.lasting()) {
        if (!restoresAll && !own.contains(one.digest))
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
    if (isOwnMissingIn(*stored)) {
        // Others may have written meanwhile.
        readStore();
        suspect_list next = *stored;
        next.suspects = book.lasting();
        if (next.suspects != stored->suspects) {
            const auto written = store.write(next);
            events.emit("suspects_stored",
                        {{"count", std::to_string(next.suspects.size())},
                         {"fault", succeeded(written) ? "" : errorOf(written).message}});
            if (!succeeded(written)) {
                stored.reset();
                readPause = spreadTime();
                return;
            }
            // The next write needs the revision that this one has made.
            stored->suspects = std::move(next.suspects);
        }
    }
    restoresAll = false;
}

} // namespace poplarspool::gateway
