#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace poplarspool::duties {

/// Holder of a duty, as recorded in the store.
struct lease_record
{
    instance_id holder;
    std::uint64_t fence = 0; ///< Fencing token; increases with each term, sent with each call.
    store_version version; ///< Of the object in the store; revision 0: not created yet.
    std::string checkpoint = {}; ///< State for later holders: the work of that term.

    bool operator==(const lease_record &) const = default;
};

/// Access to one lease's record in the store.
struct lease_store
{
    /// @returns The current record, never an older one of the same epoch.
    std::function<result<lease_record>()> read;
    /// Replaces the record if it still has the revision in `next`, or creates it if that is 0.
    /// @returns Conflict if the store has another revision. After any other failure the write may
    ///          have taken effect, or may still do so.
    std::function<result<unit>(const lease_record &next)> write;
    std::string duty = {}; ///< Name of the duty, for the log.
};

/// A short period in which only this instance may carry out the duty.
struct lease_term
{
    std::uint64_t fence = 0;
    mono_time endsAt{};

    bool operator==(const lease_term &) const = default;
};

/// Lets one instance at a time carry out a duty. A term is acquired by one conditional write, and
/// only when there is work to do.
///
/// Receivers of calls need not check fences, so two holders are kept apart by time: a term ends
/// half the bound after its write was started, on a clock that keeps running during a suspension,
/// and a successor writes only after it has seen the same record for twice the bound. Between the
/// last call of one holder and the first call of the next there is at least one and a half times
/// the bound. After a store rollback the record of a term that is still running may be lost. For
/// twice the bound after it detects a rollback, an instance does not write, not even if the record
/// names it. An instance that starts later can't tell how long ago the rollback was, and waits for
/// the same time.
/// @attention Not thread-safe.
class duty_lease
{
public:
    /// @param bound Minimum time between the calls of two holders.
    duty_lease(lease_store store, instance_id self, milliseconds bound, clock_source clock,
               journal &events);

    /// @returns The current record if this instance may replace it; none if another instance may
    ///          have a term, or the store can't be read.
    std::optional<lease_record> readIfAvailable();
    /// Acquires a term by replacing a record that readIfAvailable() has returned.
    /// @param checkpoint For this holder and later ones.
    std::optional<lease_term> acquire(const lease_record &present, std::string checkpoint);
    /// Does both in one call, for a duty without checkpoints.
    std::optional<lease_term> tryAcquire();

private:
    bool isAvailable(const lease_record &found);

    const lease_store store;
    const instance_id self;
    const milliseconds bound;
    const clock_source clock;
    journal &events;
    std::optional<std::uint64_t> epoch; ///< Epoch of the store at the last read.
    mono_time rollbackSeenAt{}; ///< When a change of the epoch was last detected; 0: never.
    store_version seenVersion; ///< Version of another holder's record.
    mono_time seenAt{}; ///< When that version was first read here.
};

} // namespace poplarspool::duties
