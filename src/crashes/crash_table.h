#pragma once

#include "poplarspool/base/published.h"
#include "poplarspool/crashes/crash_records.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

namespace poplarspool::crashes {

/// State of a request that must not be sent to any runner.
struct quarantine
{
    std::size_t incarnations = 0; ///< Runner incarnations that ended while executing it.
    milliseconds remaining{0}; ///< Time until it may be sent again.
    std::uint64_t key = 0; ///< Of the request or the part that is in quarantine.
    suspect_kind kind = suspect_kind::Request;
    /// The time of a part is over. One request with it may be sent to find out whether it still
    /// crashes runners.
    bool isOver = false;

    bool operator==(const quarantine &) const = default;
};

/// What counts against a suspect.
struct counted_ends
{
    std::size_t incarnations = 0;
    bool wasServed = false; ///< Of a part, see crash_record.

    bool operator==(const counted_ends &) const = default;
};

/// A part that may crash runners.
struct suspected_part
{
    std::uint64_t key = 0;
    std::size_t incarnations = 0; ///< Runner incarnations that ended under it.

    bool operator==(const suspected_part &) const = default;
};

/// The crash records that an instance knows, and what is quarantined because of them.
///
/// Requests that run on a runner together with the one that crashes it are cut off as well, so the
/// crash is recorded for all of them and for all parts of their prompts. Which of the parts is the
/// cause is decided by part_verdicts.h, and told to the table by convict(). An incarnation that
/// ended under a convicted part or under a quarantined request doesn't count against other requests
/// with fewer recorded ends. Requests with the same recorded ends are quarantined together: if one
/// excused the other, the cause could be released and go on crashing runners. A quarantine is
/// lifted only when the request, or one with the part, completes or when its time is over.
class crash_table
{
public:
    /// Records that a runner ended while it executed the request.
    /// @returns Whether this was not known yet.
    bool recordEnd(std::uint64_t digest, const ended_incarnation &ended);
    /// Records that the request completed at a runner that it was sent to when endsKnown() was
    /// `known`. Later ends still count: the cause may be younger than the run.
    /// @returns The records of which ends were cleared.
    std::vector<crash_record> recordServed(const request_suspects &suspects, std::uint64_t known);
    /// @param key Of a part with a record.
    void convict(std::uint64_t key);
    /// Merges records received from other instances or read from the store.
    /// @returns Whether they contained anything new.
    bool merge(const std::vector<crash_record> &received);

    // Called for each request; lock-free.

    /// @returns Empty if the request may be sent.
    std::optional<quarantine> quarantineOf(const request_suspects &suspects,
                                           std::int64_t nowMs) const;
    /// @returns What counts against the request or the part.
    counted_ends countEnds(std::uint64_t key) const;
    /// @returns The number of ends of runners that this instance has learnt of.
    std::uint64_t endsKnown() const { return endCount.load(std::memory_order_relaxed); }

    bool hasEnded(std::uint64_t incarnationKey) const;
    /// @returns The records to persist in the store, so that after all instances were killed a few
    ///          more ends suffice to quarantine a request, and a convicted part stays so.
    std::vector<crash_record> persistentRecords() const;
    std::optional<crash_record> find(std::uint64_t key) const;
    /// @returns Parts that were not convicted, against which the ends of two moments or more count.
    std::vector<suspected_part> suspectedParts() const;
    /// @returns Keys of the parts to convict.
    std::set<std::uint64_t> partsToConvict() const;
    /// @returns The number of other parts that were at one of the part's ends.
    std::size_t countOthersAt(const crash_record &part) const;
    /// @returns The number of records of this kind.
    std::size_t countRecords(suspect_kind kind) const;
    /// @returns A fingerprint of the set of suspects in quarantine, equal for equal sets; 0 if
    /// there
    ///          are none. It has config::quarantineFingerprintBits bits.
    std::uint64_t fingerprintAt(std::int64_t nowMs) const;

private:
    struct assessment
    {
        counted_ends ends; ///< Including those attributed to others.
        std::int64_t untilMs = 0; ///< End of the quarantine in Unix ms; 0 if there is none.
        suspect_kind kind = suspect_kind::Request;

        bool isActiveAt(std::int64_t nowMs) const;
    };
    using assessment_map = std::unordered_map<std::uint64_t, assessment>;
    /// For each incarnation that ended under a quarantined suspect: the ends counted for that one.
    using attributed_ends = std::map<std::uint64_t, std::size_t>;

    crash_record &recordOf(std::uint64_t key);
    bool mergeLocked(const std::vector<crash_record> &received);
    void numberEnds(const crash_record &received);
    void evictExcess();
    void evictExcess(suspect_kind kind);
    void reassess();
    void assessParts(assessment_map &next, attributed_ends &attributed) const;
    void assessRequests(assessment_map &next, attributed_ends &attributed) const;
    std::vector<const crash_record *> parts() const;

    mutable std::mutex guard;
    std::map<std::uint64_t, crash_record> records; ///< By key.
    /// The order in which this instance has learnt of ends, by incarnation.
    std::map<std::uint64_t, std::uint64_t> endNumbers;
    std::atomic<std::uint64_t> endCount{0};
    published<assessment_map> assessments{assessment_map{}};
};

} // namespace poplarspool::crashes
