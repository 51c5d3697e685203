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

/// Who has a duty, as the store has it.
struct lease_record
{
    instance_id holder;
    std::uint64_t fence = 0; ///< Rises with each term; stands on each call of that term.
    store_version version; ///< Of the object in the store; revision 0: there is none yet.
    std::string note = {}; ///< From holder to holder: what was to be done in that term.

    bool operator==(const lease_record &) const = default;
};

/// The store, as far as one lease needs it.
struct lease_store
{
    /// @returns The present record, never an older one of the same epoch.
    std::function<result<lease_record>()> read;
    /// Replaces the record of that very revision, or creates it where the revision is 0.
    /// @returns Conflict where another one stands there. Any other failure may have taken effect,
    ///          also later.
    std::function<result<unit>(const lease_record &next)> write;
    std::string duty = {}; ///< Its name, for the log.
};

/// A short time in which this instance alone may do the duty.
struct lease_term
{
    std::uint64_t fence = 0;
    mono_time endsAt{};

    bool operator==(const lease_term &) const = default;
};

/// Lets one instance at a time do a duty. A term is taken only when there is something to do, by
/// one conditional write.
///
/// Whoever is told need not check fences, so that two holders must be kept apart by time: a term
/// ends within half the bound, counted from before its write on a clock that goes on during a
/// suspension, and a successor writes only after it has seen the same record for twice the bound.
/// Between the last call of one holder and the first of the next there is at least one and a half
/// times the bound. A store that comes back from an older copy may have lost the record of a term
/// that still runs: for twice the bound from when this is noticed, nobody writes, whoever the
/// record names. Who starts afterwards can't tell how long ago that was, and waits as long.
/// @attention For one thread.
class duty_lease
{
public:
    /// @param bound Time for which calls of two holders must be apart.
    duty_lease(lease_store store, instance_id self, milliseconds bound, clock_source clock,
               journal &events);

    /// @returns The present record, where this instance may replace it; none where another one may
    ///          have a term, or the store can't tell.
    std::optional<lease_record> findFree();
    /// Takes a term in place of a record that findFree() gave.
    /// @param note For this holder and the next ones.
    std::optional<lease_term> take(const lease_record &present, std::string note);
    /// Both at once, for a duty without notes.
    std::optional<lease_term> tryTake();

private:
    bool isFreeFrom(const lease_record &found);

    const lease_store store;
    const instance_id self;
    const milliseconds bound;
    const clock_source clock;
    journal &events;
    std::optional<std::uint64_t> epoch; ///< Of the store, as it was read last.
    mono_time wentBackAt{}; ///< When it was seen to rise; 0: never.
    store_version seenVersion; ///< Of another holder's record.
    mono_time seenAt{}; ///< Since when that one has been there, as far as seen here.
};

} // namespace poplarspool::duties
