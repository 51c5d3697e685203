#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/result.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/entry_filter.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::gateway {

/// A change of one runner's entry in the store.
struct runner_change
{
    runner_id id;
    std::optional<runner> entry; ///< Empty if it was removed or can't be parsed.
    bool isUnreadable = false; ///< It can't be parsed.

    bool operator==(const runner_change &) const = default;
};

/// Wire format in which instances relay store changes to each other. Encoding fails with TooLarge
/// if the change exceeds a limit of the format, decoding with Broken if the input is malformed.
result<std::string> encode(const runner_change &change);
result<runner_change> decodeRunnerChange(std::string_view text);
/// Encodes a route table as a delta against the previous one: the complete routes of one user took
/// 2 KB and did not fit into a datagram.
result<std::string> encode(const route_table &table, const route_table &before);
/// @returns The newer of both tables; Stale if the delta is based on another table than `before`.
result<route_table> decodeRouteTable(std::string_view text, const route_table &before);

/// Applies updates from the store to the catalogue. Routes and runners may be updated from two
/// different threads; the updates of each must arrive in the store's order.
class catalogue_updater
{
public:
    /// @param settleTime Maximum delay of updates after the store, or the network path to it, has
    /// recovered.
    /// @param isLeaving Whether the runner has said itself that it leaves: it counts as draining,
    /// whatever the store says.
    /// @param onTable Called with each table that is published, on the thread that watches the
    /// routes.
    catalogue_updater(catalogue_publisher &publisher, milliseconds settleTime, clock_source clock,
                      journal &events, std::function<bool(const runner &)> isLeaving = {},
                      std::function<void(const route_table &)> onTable = {});

    // To be called from the thread that watches the routes.

    /// Publishes the table if it is newer than the current one; ignores it otherwise.
    void setTable(route_table table);
    /// @returns The latest table; null if none has been received.
    std::shared_ptr<const route_table> table() const;
    /// Records that the store confirmed the current table as the latest.
    /// @param at When the query was sent, or later.
    void confirmTable(mono_time at);

    /// Called when the runner has said that it leaves. May be called from any thread.
    void applyLeaving(const runner_id &id);

    // To be called from the thread that watches the runners.

    /// Replaces the complete list of runners.
    /// @param unreadable Runners whose entries are listed and can't be parsed.
    void setRunners(const std::vector<runner> &listed, const std::set<runner_id> &unreadable = {});
    /// Applies changes, oldest first, atomically: requests see all of them or none. Applying them
    /// again together with later changes gives the same list.
    void applyChanges(const std::vector<runner_change> &changes);
    /// Records that the store confirmed the list of runners.
    /// @param at When the query was sent, or later.
    /// @param version Store version up to which all changes have been applied.
    void confirmRunners(mono_time at, store_version version);
    /// Records that a call to the store failed.
    /// @param sentAt When the call was sent; the store may have recovered any time after that.
    void recordStoreFailure(mono_time sentAt);
    /// Records that the store answered a call.
    void recordStoreAnswer();
    /// Records that the store was restored from an older snapshot. The next list of runners is
    /// taken to be from that snapshot.
    /// @param lastSeenAt When the store was last known not to have been rolled back.
    void recordStoreRollback(mono_time lastSeenAt);
    /// @returns Markers of outdated entries, for instances that start now.
    const std::vector<outdated_entry_marker> &outdatedMarkers() const
    {
        return entryFilter.markers();
    }
    /// Stops using runners whose entries other instances have marked as outdated. Has no effect if
    /// this instance has observed a store rollback itself.
    void applyOutdatedMarkers(const std::vector<outdated_entry_marker> &received);
    /// Removes runners whose grace period is over, and accepts entries that looked outdated and are
    /// still listed after a timeout. To be called after each answer of the store.
    void applyTimeouts();

private:
    bool isInGracePeriod() const;
    void startGracePeriod(mono_time outageSeenAt);
    /// Publishes a changed copy of the runners.
    void updateRunners(const std::function<void(runner_set &)> &change);
    /// @returns The entry, with isDraining if the runner has said that it leaves.
    runner withOwnWord(runner entry) const;
    /// Uses the entry, unless it is outdated.
    /// @returns Whether the runners have changed.
    bool putRunner(runner_set &runners, const runner &written);
    bool useEntry(runner_set &runners, const runner &written);
    /// @param state Unreadable or Removed.
    void handleRemoval(runner_set &runners, const runner_id &id, entry_state state);
    /// @param state Expired, Unreadable or Removed.
    void removeRunner(runner_set &runners, const runner_id &id, entry_state state);
    void logEntry(const runner_set &runners, const runner_id &id) const;
    void logOutdated(const runner_set &runners, const runner &written) const;

    catalogue_publisher &publisher;
    const milliseconds settleTime;
    const clock_source clock;
    journal &events;
    const std::function<bool(const runner &)> isLeaving;
    const std::function<void(const route_table &)> onTable;
    mono_time failingSince{}; ///< First failure since the last answer; 0 if none.
    mono_time lastFailureSentAt{}; ///< When the last failed call was sent.
    mono_time recoveredAt{}; ///< When the store last recovered.
    mono_time graceEndsAt{}; ///< End of the grace period that began at `recoveredAt`.
    std::set<runner_id> missing; ///< No longer listed, but in their grace period.
    entry_filter entryFilter;
    bool isSnapshotNext = false; ///< The next list is from an older snapshot.
    bool hasSeenRollback = false; ///< This instance has observed a rollback itself.
};

} // namespace poplarspool::gateway
