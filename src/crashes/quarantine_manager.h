#pragma once

#include "crashes/crash_table.h"
#include "crashes/crash_update.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace poplarspool::crashes {

/// What the quarantine manager needs from its instance.
struct quarantine_dependencies
{
    /// @returns Whether the runner's host refuses connections: no process listens there any more.
    std::function<bool(const observed_runner &)> hasEnded;
    /// Sends a rumor to the other instances by gossip.
    std::function<void(peer::rumor)> spreadRumor;
    /// Sets the fingerprint of this instance's quarantine that its heartbeats carry.
    std::function<void(std::uint64_t)> setFingerprint;
    /// @returns The fingerprints last received from the other instances; 0 for an empty quarantine.
    std::function<std::vector<std::uint64_t>()> fingerprints;
    /// @returns When this instance last received a confirmation from the store, directly or through
    ///          another instance.
    std::function<mono_time()> storeConfirmedAt;
};

/// Collects during which requests runners ended, from this instance's own tries, from rumors of
/// other instances, and from the store. Rumors are fast but may be lost. Records with two or more
/// ends are also persisted in the store, for instances that start later, were partitioned, or were
/// all killed at once. An instance detects that it lacks records by comparing fingerprints with the
/// others.
class quarantine_manager
{
public:
    quarantine_manager(quarantine_dependencies given, crash_record_store store, instance_id self,
                       clock_source clock, metrics_registry &metrics, journal &events);
    ~quarantine_manager();

    void start();
    /// Stops all access to the store, so that the shutdown doesn't wait for a slow one. Ends are
    /// still sent to other instances.
    void stopStoreAccess();
    void stop();

    // Called while handling requests.

    /// @returns Empty if the request may be sent.
    std::optional<quarantine> quarantineOf(std::uint64_t digest) const;
    /// @returns The number of ended incarnations that count against the request.
    std::size_t countIncarnations(std::uint64_t digest) const
    {
        return table.countIncarnations(digest);
    }
    /// Records that the connection was lost before the response was complete. Counts against the
    /// request if the runner has ended.
    void recordConnectionLost(std::uint64_t digest, const observed_runner &target);
    /// Records an incomplete response where the connection doesn't show whether the runner has
    /// ended; this is checked later.
    void recordUnconfirmed(std::uint64_t digest, const observed_runner &target);
    void recordServed(std::uint64_t digest);

    /// Applies a rumor of another instance; ignores other kinds of rumors.
    void onRumor(const peer::rumor &rumor);
    /// To be called after a store rollback: records that were written to the store may be lost.
    void recordStoreRollback();

private:
    /// A report is kept for some time, so that requests recorded later for the same end are added
    /// to its rumor.
    struct pending_report
    {
        end_report report;
        std::size_t sentDigests = 0; ///< Number of digests already sent.
    };

    /// An incomplete response of a runner that may have ended.
    struct unconfirmed_end
    {
        std::uint64_t digest = 0;
        observed_runner target;
        mono_time seenAt{};
    };

    std::int64_t nowMs() const;
    void countEnd(std::uint64_t digest, const observed_runner &target);
    void resolveUnconfirmed();
    bool hasOtherFingerprint();
    void run();
    void runOnce();
    milliseconds jitter() const;
    void handleStoreRollback();
    void sendPending();
    bool shouldReadStore();
    bool hasReconnected();
    void readStore();
    void writeStore();
    bool isOwnRecordMissingIn(const crash_record_list &list);
    void logQuarantine(std::uint64_t digest) const;

    const quarantine_dependencies dependencies;
    const crash_record_store store;
    const instance_id self;
    const clock_source clock;
    journal &events;
    counter &endsSeen;
    crash_table table;
    std::mutex guard;
    std::condition_variable changed;
    bool isStopping = false;
    bool isLeaving = false;
    std::vector<unconfirmed_end> unconfirmed;
    bool hasWork = false;
    bool isRollbackNew = false; ///< A store rollback was reported and is not handled yet.
    std::map<std::uint64_t, pending_report> pending; ///< By incarnation key.
    std::set<std::uint64_t> ownDigests; ///< Digests with ends observed by this instance itself.
    std::vector<peer::rumor> outgoing;
    std::thread thread;

    // Only accessed by the thread.
    std::optional<crash_record_list> stored; ///< The list as last read or written.
    bool rewritesAll = false; ///< Also rewrites records that only other instances observed.
    std::uint64_t lastFingerprint = 0;
    mono_time lastRunAt{};
    mono_time differsSince{}; ///< Since when another fingerprint differs; 0 if none does.
    bool wasPartitioned = false;
    mono_time readAt{};
    milliseconds readInterval{0};
};

} // namespace poplarspool::crashes
