#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <map>
#include <optional>
#include <vector>

namespace poplarspool::gateway {

/// Marks an entry of a runner, and all earlier entries of that runner, as outdated.
struct outdated_entry_marker
{
    runner_id id;
    std::uint64_t startedAtMs = 0;
    std::uint64_t writes = 0;

    bool operator==(const outdated_entry_marker &) const = default;
};

/// Detects entries of runners that are outdated because the store was rolled back.
///
/// A store that is restored from an older snapshot lists runners as in service although they have
/// announced since that they are draining; that write was lost. If the entries were accepted, the
/// runners would get requests until they exit, and callers would be cut off. The runners announce
/// it again, but only later; until then the state known before the rollback is used. An entry is
/// accepted once the runner has written it again, or if it is still listed after the entries of
/// runners that have exited must have expired.
class rollback_filter
{
public:
    /// Records that a runner was removed from the list.
    void recordRemoval(const runner &entry, mono_time now);
    /// Compares all entries of the restored snapshot with the runners known before the rollback.
    void applySnapshot(const runner_set &known, const std::vector<runner> &snapshot, mono_time now);
    /// Adds markers received from an instance that knows more than the snapshot contains. Each
    /// marker is applied only once.
    void addMarkers(const std::vector<outdated_entry_marker> &received, mono_time now);
    /// @returns Markers of the last snapshot, for instances that start now; empty after a timeout.
    const std::vector<outdated_entry_marker> &markers() const { return ownMarkers; }
    /// Forgets the outdated entry of the runner if the passed one is newer, or is the first one
    /// that is draining.
    /// @returns Whether the passed entry is older than what is known of the runner.
    bool isOutdated(const runner &entry);
    /// Removes the outdated entries whose timeout has passed.
    /// @returns Those that are still listed; they have to be accepted.
    std::vector<runner> takeTimedOut(mono_time now);
    /// To be called when the store has removed the entry.
    void forget(const runner_id &id) { outdated.erase(id); }

    std::size_t countOutdated() const { return outdated.size(); }

private:
    struct removed_runner
    {
        std::uint64_t startedAtMs = 0;
        mono_time at{};
    };

    /// An outdated entry, as listed in the snapshot.
    struct outdated_entry
    {
        std::uint64_t startedAtMs = 0;
        std::uint64_t writes = 0;
        mono_time since{};
        std::optional<runner> listed; ///< Empty while only its marker is known.
    };

    void forgetExpired(mono_time now);
    bool isOlderThanKnown(const runner_set &known, const runner &entry) const;
    void addOwnMarker(const runner &entry);

    std::map<runner_id, removed_runner> removed;
    std::map<runner_id, outdated_entry> outdated;
    std::vector<outdated_entry_marker> ownMarkers;
    mono_time rolledBackAt{};
    std::map<runner_id, outdated_entry_marker> appliedMarkers; ///< The latest one of each runner.
};

} // namespace poplarspool::gateway
