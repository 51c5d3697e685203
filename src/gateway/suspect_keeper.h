#pragma once

#include "gateway/suspect_book.h"
#include "gateway/suspect_news.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace poplarspool::gateway {

/// What the keeper of suspects needs of its instance.
struct suspect_tools
{
    /// @returns Whether nobody listens at the address any more, by the word of its host.
    std::function<bool(const endpoint &)> isRefused;
    std::function<void(peer::rumor)> spread;
    /// Tells the others, again and again, what this instance has in quarantine.
    std::function<void(std::uint64_t)> setMark;
    /// @returns What the other instances have, as last heard; 0 of those that have nothing.
    std::function<std::vector<std::uint64_t>()> marks;
    /// @returns When the store last confirmed anything to this instance, by itself or through
    ///          another one.
    std::function<mono_time()> confirmedAt;
};

/// Gathers under which requests runners end: from this instance's own sends, from the others by
/// rumors, and from the store. Rumors are fast, and may be lost; two ends and more are in the store
/// as well, for instances that start later, were cut off, or were all killed at once. That an
/// instance lacks something shows by the others' marks.
class suspect_keeper
{
public:
    suspect_keeper(suspect_tools tools, suspect_store store, instance_id self, clock_source clock,
                   metrics_registry &metrics, journal &events);
    ~suspect_keeper();

    void start();
    /// From now on, the store is left alone: with a slow one, the end would wait for it. What is
    /// seen is still told.
    void leave();
    void stop();

    // Of a request's path.

    /// @returns Nothing where it may be sent.
    std::optional<quarantine> quarantineOf(std::uint64_t digest) const;
    /// @returns How many lives of runners that ended under it count.
    std::size_t countLives(std::uint64_t digest) const { return book.countLives(digest); }
    /// The connection was lost before the answer was whole. Where the runner has ended, it counts.
    void noteBroken(std::uint64_t digest, const runner &target);
    /// The answer was no whole one, and the connection says nothing of the runner's end: looked at
    /// later.
    void noteDoubt(std::uint64_t digest, const runner &target);
    void noteServed(std::uint64_t digest);

    /// Takes what another instance has told; rumors of other kinds are passed over.
    void take(const peer::rumor &news);
    /// The store may have lost what was written there.
    void restore();

private:
    /// Kept for a while, so that what is seen later of the same end joins its rumor.
    struct pending_report
    {
        end_report report;
        std::size_t told = 0; ///< Digests.
    };

    /// A broken answer of a runner that may have ended.
    struct doubt
    {
        std::uint64_t digest = 0;
        runner target;
        mono_time seenAt{};
    };

    std::int64_t nowMs() const;
    void count(std::uint64_t digest, const runner &target);
    void settleDoubts();
    bool hasOthersMark();
    void run();
    void look();
    milliseconds spreadTime() const;
    void noticeCopy();
    void tellPending();
    bool mustRead();
    bool isBackInTouch();
    void readStore();
    void writeStore();
    bool isOwnMissingIn(const suspect_list &list);
    void logJudgement(std::uint64_t digest) const;

    const suspect_tools tools;
    const suspect_store store;
    const instance_id self;
    const clock_source clock;
    journal &events;
    counter &endsSeen;
    suspect_book book;
    std::mutex guard;
    std::condition_variable changed;
    bool isStopping = false;
    bool isLeaving = false;
    std::vector<doubt> doubts;
    bool isWoken = false;
    bool isCopyNew = false; ///< The store has come back from an older copy, and nobody has looked.
    std::map<std::uint64_t, pending_report> pending; ///< By life.
    std::set<std::uint64_t> own; ///< Digests that this instance has news of by its own sends.
    std::vector<peer::rumor> waiting;
    std::thread thread;

    // Of the thread alone.
    std::optional<suspect_list> stored; ///< As last read or written.
    bool restoresAll = false; ///< Also what others have seen has to stand in the store again.
    std::uint64_t markSeen = 0;
    mono_time lookedAt{};
    mono_time differsSince{}; ///< When another mark was seen first; 0: none.
    bool wasCutOff = false;
    mono_time readAt{};
    milliseconds readPause{0};
};

} // namespace poplarspool::gateway
