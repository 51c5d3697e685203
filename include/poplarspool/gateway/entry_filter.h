#pragma once

#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/entry_age.h"

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

/// Keeps outdated entries of runners out of use.
///
/// A store that is restored from an older snapshot, or that executes a write seconds late, lists
/// runners as in service although they have announced since that they are draining, or have left.
/// If the entries were accepted, the runners would get requests until they exit, and callers would
/// be cut off. Until then the state known before is used. An entry is accepted once the runner has
/// written it again, or if it is still listed after the entries of runners that have exited must
/// have expired.
class entry_filter
{
public:
    /// Records that a runner is no longer used, although its entry was not replaced.
    /// @param state Expired, Unreadable or Removed.
    void recordRemoval(const runner &entry, entry_state state, mono_time now);
    /// Compares all entries of the restored snapshot with the runners known before the rollback.
    void applySnapshot(const runner_set &known, const std::vector<runner> &snapshot, mono_time now);
    /// Adds markers received from an instance that knows more than the store contains. Each marker
    /// is applied only once.
    /// @returns The known runners whose entries are outdated.
    std::vector<runner_id> addMarkers(const runner_set &known,
                                      const std::vector<outdated_entry_marker> &received,
                                      mono_time now);
    /// @returns Markers of the entries that were outdated lately, for instances that start now.
    const std::vector<outdated_entry_marker> &markers() const { return ownMarkers; }
    /// Records the entry as outdated if it is from before what is known of the runner, and forgets
    /// an outdated one if it is not.
    /// @returns Whether the entry is to be used.
    bool accepts(const runner_set &known, const runner &entry, mono_time now);
    /// Like accepts(), for an entry of the snapshot that was passed to applySnapshot().
    bool acceptsFromSnapshot(const runner &entry) const { return !outdated.contains(entry.id); }
    /// @returns What is known of the runner's entry; nullopt if nothing is.
    std::optional<known_entry> latestOf(const runner_set &known, const runner_id &id) const;
    /// Removes the outdated entries whose timeout has passed.
    /// @returns Those that are still listed; they have to be accepted.
    std::vector<runner> takeTimedOut(mono_time now);
    /// To be called when the store was unavailable: meanwhile no runner could write again, and no
    /// entry expired.
    void restartTimeouts(mono_time now);
    /// To be called when the store has removed the entry.
    void forget(const runner_id &id) { outdated.erase(id); }

    std::size_t countOutdated() const { return outdated.size(); }

private:
    struct removed_runner
    {
        known_entry last;
        mono_time at{};
    };

    struct outdated_entry
    {
        std::uint64_t startedAtMs = 0;
        std::uint64_t writes = 0;
        mono_time since{};
        std::optional<runner> listed; ///< Empty while only its marker is known.
        entry_source source = entry_source::Store;
    };

    void forgetExpired(mono_time now);
    entry_age ageOfListed(const runner_set &known, const runner &entry, entry_source source,
                          mono_time now) const;
    static bool isReplacedBy(const outdated_entry &rejected, const runner &entry);
    void addOwnMarker(const runner &entry, mono_time now);

    std::map<runner_id, removed_runner> removed;
    std::map<runner_id, outdated_entry> outdated;
    std::vector<outdated_entry_marker> ownMarkers;
    mono_time markedAt{}; ///< When the last of `ownMarkers` was added.
    std::map<runner_id, outdated_entry_marker> appliedMarkers; ///< The latest one of each runner.
};

} // namespace poplarspool::gateway
