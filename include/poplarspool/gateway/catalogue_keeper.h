#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/result.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/copied_entries.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::gateway {

/// What the store says of one runner.
struct runner_change
{
    runner_id id;
    std::optional<runner> entry; ///< None: it is listed no more, or its entry can't be read.

    bool operator==(const runner_change &) const = default;
};

/// For other instances. Encoding fails with TooLarge where the change breaks a bound of what is
/// told; decoding with Broken where the text is none.
result<std::string> encode(const runner_change &change);
result<runner_change> decodeRunnerChange(std::string_view text);
/// Routes are told by what differs from the table before: whole, those of one user took 2 KB, and
/// no datagram holds them.
result<std::string> encode(const route_table &table, const route_table &before);
/// @returns The newer of both tables; Stale where the text follows another one than `before`.
result<route_table> decodeRouteTable(std::string_view text, const route_table &before);

/// Turns the store's news into the catalogue. Routes and runners may come from two threads; each
/// of them in the store's order.
class catalogue_keeper
{
public:
    /// @param settleTime For which news may be late once the store, or the way to it, is sound
    /// again.
    catalogue_keeper(catalogue_hub &hub, milliseconds settleTime, clock_source clock,
                     journal &events);

    // Of the thread that follows the routes.

    /// Takes a newer table; an older one is dropped.
    void setTable(route_table table);
    /// @returns The newest; null where there is none yet.
    std::shared_ptr<const route_table> table() const;
    /// The store has just said that the table is the newest.
    /// @param at When it was asked, or later.
    void confirmTable(mono_time at);

    // Of the thread that follows the runners.

    /// Takes the whole list.
    void setRunners(const std::vector<runner> &listed);
    /// Takes changes, oldest first, as one: requests see all of them or none. Told again together
    /// with those that followed, they lead to the same list.
    void takeChanges(const std::vector<runner_change> &changes);
    /// The store has just said what the list holds.
    /// @param at When it was asked, or later.
    /// @param version Of the store: all changes up to it have been taken.
    void confirmRunners(mono_time at, store_version version);
    /// A call to the store failed.
    /// @param askedAt When it was sent: the store may have been back from then on.
    void noteStoreLost(mono_time askedAt);
    /// The store answered.
    void noteStoreAnswer();
    /// The store has come back from an older copy; the next list is of that copy.
    /// @param lastSeenAt When it was last known not to have.
    void noteOlderCopy(mono_time lastSeenAt);
    /// What an instance that starts now should know of the last older copy.
    const std::vector<entry_mark> &copyMarks() const { return copies.marks(); }
    /// Leaves runners alone whose entries others know to be outdated, where this instance has
    /// started too late to know it.
    void doubt(const std::vector<entry_mark> &told);
    /// Drops the runners whose time to come back is over, and takes entries of an older copy that
    /// still stand. To be called after each answer.
    void settle();

private:
    bool isForgiving() const;
    void forgiveFrom(mono_time lastTroubleAt);
    void put(catalogue &next, const runner &entry);
    void takeAway(catalogue &next, const runner_id &id);
    void drop(catalogue &next, const runner_id &id);

    catalogue_hub &hub;
    const milliseconds settleTime;
    const clock_source clock;
    journal &events;
    mono_time lostAt{}; ///< First failure since the last answer; 0: none.
    mono_time failedAt{}; ///< When the last call that failed was sent.
    mono_time backAt{}; ///< When the store came back last.
    mono_time forgivenUntil{}; ///< Until when what was missing then is kept.
    std::set<runner_id> missing; ///< Kept although listed no more.
    copied_entries copies;
    bool isCopyNext = false; ///< The next list is of an older copy.
    bool hasSeenCopy = false; ///< What was lost is known here.
};

} // namespace poplarspool::gateway
