#pragma once

#include "crashes/answer_watch.h"
#include "crashes/crash_table.h"
#include "crashes/crash_update.h"
#include "crashes/part_judge.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
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
    const peer::fleet_view &fleet;
    /// Sends a payload to the managers of other instances, given by their addresses for gossip.
    /// Thread-safe.
    std::function<void(const std::vector<endpoint> &to, const result<std::string> &payload)> send;
};

/// Collects during which requests, and on which parts of prompts, runners ended: from this
/// instance's own tries, from rumors and datagrams of other instances, and from the store. Rumors
/// are fast but may be lost. Records of requests with two or more ends, and of convicted parts, are
/// also persisted in the store, for instances that start later, were partitioned, or were all
/// killed at once. An instance detects that it lacks records by comparing fingerprints with the
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
    std::optional<quarantine> quarantineOf(const request_suspects &suspects) const;
    /// @returns Whether this instance may send one request with the part, whose quarantine is over.
    bool takeTrial(std::uint64_t partKey) { return judge.takeTrial(partKey); }
    /// @returns Whether a request whose runner has ended should not go on at another one, because
    ///          it may crash that as well.
    bool isRetryRisky(const request_suspects &suspects) const;
    /// @returns When this function first found that this incarnation of the runner has ended, as
    ///          this instance or another one has seen; none if it is not known to have.
    std::optional<mono_time> endNoticedAt(const observed_runner &target);
    /// @returns What recordServed() needs from the time at which the request was sent.
    std::uint64_t endsKnown() const { return table.endsKnown(); }
    /// @returns What counts against the request or the part.
    counted_ends countEnds(std::uint64_t key) const { return table.countEnds(key); }
    /// Records that the connection was lost before the response was complete. Counts against the
    /// request and its parts if the runner has ended.
    void recordConnectionLost(const request_suspects &suspects, const observed_runner &target);
    /// Records an incomplete response where the connection doesn't show whether the runner has
    /// ended; this is checked later.
    void recordUnconfirmed(const request_suspects &suspects, const observed_runner &target);
    /// Records that the request completed at a runner to which it was sent when endsKnown() was
    /// `known`. Speaks for its parts only once the runner has outlived the answer for a while: a
    /// short answer may be complete before the runner crashes of it.
    void recordServed(const request_suspects &suspects, const observed_runner &target,
                      std::uint64_t known);

    // Called from the thread that exchanges the datagrams.

    /// @returns False if the payload can't be decoded.
    bool onDatagram(std::uint64_t sender, std::string_view payload);
    /// @returns When to call it again.
    mono_time judgeParts();

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
        request_suspects suspects;
        observed_runner target;
        mono_time seenAt{};
    };

    std::int64_t nowMs() const;
    void settleAnswers();
    bool hasEnded(const watched_answer &answer) const;
    void clear(const request_suspects &suspects, std::uint64_t known);
    part_judge_dependencies judgeDependencies(metrics_registry &metrics);
    void countEnd(const request_suspects &suspects, const observed_runner &target);
    void recordVerdicts(const std::vector<std::uint64_t> &keys, bool isOwn);
    void wake();
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
    void logQuarantine(std::uint64_t key) const;
    void updateGauges();

    const quarantine_dependencies dependencies;
    const crash_record_store store;
    const instance_id self;
    const clock_source clock;
    journal &events;
    counter &endsSeen;
    gauge &requestRecords;
    gauge &partRecords;
    crash_table table;
    part_judge judge;
    std::mutex guard;
    std::condition_variable changed;
    bool isStopping = false;
    bool isLeaving = false;
    std::vector<unconfirmed_end> unconfirmed;
    answer_watch answers;
    bool hasWork = false;
    bool isRollbackNew = false; ///< A store rollback was reported and is not handled yet.
    std::map<std::uint64_t, pending_report> pending; ///< By incarnation key.
    /// Requests with ends observed by this instance itself, and parts that it has convicted.
    std::set<std::uint64_t> ownKeys;
    std::vector<peer::rumor> outgoing;
    std::map<std::uint64_t, mono_time> endsNoticed; ///< By incarnation key.
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
