#pragma once

#include "poplarspool/base/published.h"
#include "poplarspool/crashes/crash_records.h"

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

    bool operator==(const quarantine &) const = default;
};

/// The crash records that an instance knows, and the requests quarantined because of them.
///
/// Requests that run on a runner together with the one that crashes it are cut off as well, so the
/// crash is recorded for all of them. An incarnation that ended under a quarantined request doesn't
/// count against other requests with fewer recorded ends. Requests with the same recorded ends are
/// quarantined together: if one excused the other, the cause could be released and go on crashing
/// runners. A quarantine is lifted only when the request completes or when its time is over.
class crash_table
{
public:
    /// Records that a runner ended while it executed the request.
    /// @returns Whether this was not known yet.
    bool recordEnd(std::uint64_t digest, const ended_incarnation &ended);
    /// Records that the request completed.
    /// @returns Whether this cleared recorded ends.
    bool recordServed(std::uint64_t digest, std::int64_t nowMs);
    /// Merges records received from other instances or read from the store.
    /// @returns Whether they contained anything new.
    bool merge(const std::vector<crash_record> &received);

    // Called for each request; lock-free.

    /// @returns Empty if the request may be sent.
    std::optional<quarantine> quarantineOf(std::uint64_t digest, std::int64_t nowMs) const;
    /// @returns The number of ended incarnations that count against the request.
    std::size_t countIncarnations(std::uint64_t digest) const;

    bool hasEnded(std::uint64_t incarnationKey) const;
    /// @returns The records to persist in the store, so that after all instances were killed a few
    ///          more ends suffice to quarantine a request.
    std::vector<crash_record> persistentRecords() const;
    std::optional<crash_record> find(std::uint64_t digest) const;
    /// @returns A fingerprint of the set of requests in quarantine, equal for equal sets; 0 if
    /// there
    ///          are none. It has config::quarantineFingerprintBits bits.
    std::uint64_t fingerprintAt(std::int64_t nowMs) const;

private:
    struct assessment
    {
        /// Ended incarnations that count against the request, including those attributed to others.
        std::size_t incarnations = 0;
        std::int64_t untilMs = 0; ///< End of the quarantine in Unix ms; 0 if there is none.
    };
    using assessment_map = std::unordered_map<std::uint64_t, assessment>;

    crash_record &recordOf(std::uint64_t digest);
    void evictExcess();
    void reassess();

    mutable std::mutex guard;
    std::map<std::uint64_t, crash_record> records; ///< By request digest.
    published<assessment_map> assessments{assessment_map{}};
};

} // namespace poplarspool::crashes
