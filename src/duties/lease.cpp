#include "poplarspool/duties/lease.h"

#include "poplarspool/duties/limits.h"

#include <algorithm>
#include <limits>

namespace poplarspool::duties {

namespace {

/// @returns None if there is no number above all fences that have been issued.
std::optional<std::uint64_t> fenceAfter(const lease_record &present)
{
    const bool isLast = present.fence == std::numeric_limits<std::uint64_t>::max();
    if (isLast || present.version.epoch > config::maxStoreEpoch)
        return std::nullopt;
    // Fences of terms whose records were lost must not be reused.
    return std::max(present.fence + 1, present.version.epoch * config::fencesPerEpoch);
}

} // namespace

duty_lease::duty_lease(lease_store store, instance_id self, milliseconds bound, clock_source clock,
                       journal &events)
    : store(std::move(store)), self(std::move(self)), bound(bound), clock(std::move(clock)),
      events(events)
{ }

/// The holder's clock can't be compared with the local one. A record that has not changed for twice
/// the bound shows that the holder's last term is over, since only another write could have started
/// a new one.
bool duty_lease::isAvailable(const lease_record &found)
{
    const mono_time now = clock.mono();
    // Applies to an instance that starts in a later epoch too: the record of a term that is still
    // running may just have been lost.
    if (epoch.value_or(0) != found.version.epoch)
        rollbackSeenAt = now;
    epoch = found.version.epoch;
    if (rollbackSeenAt != mono_time{} && now - rollbackSeenAt < 2 * bound)
        return false;
    const bool hasNoHolder = found.version.revision == 0;
    if (hasNoHolder || found.holder == self)
        return true;
    if (found.version != seenVersion) {
        seenVersion = found.version;
        seenAt = now;
    }
    return now - seenAt >= 2 * bound;
}

std::optional<lease_record> duty_lease::readIfAvailable()
{
    const auto found = store.read();
    if (!succeeded(found)) {
        events.emit("lease_unknown", {{"duty", store.duty}, {"reason", errorOf(found).message}});
        return std::nullopt;
    }
    if (!isAvailable(valueOf(found)))
        return std::nullopt;
    return valueOf(found);
}

std::optional<lease_term> duty_lease::acquire(const lease_record &present, std::string checkpoint)
{
    const auto fence = fenceAfter(present);
    if (!fence) {
        events.emit("lease_unusable",
                    {{"duty", store.duty},
                     {"fence", std::to_string(present.fence)},
                     {"epoch", std::to_string(present.version.epoch)}});
        return std::nullopt;
    }
    const lease_record next{self, *fence, present.version, std::move(checkpoint)};
    const mono_time requestedAt = clock.mono();
    const auto written = store.write(next);
    if (!succeeded(written)) {
        // If the write has taken effect nevertheless, the record names this instance and the next
        // attempt replaces it.
        events.emit("lease_missed", {{"duty", store.duty}, {"reason", errorOf(written).message}});
        return std::nullopt;
    }
    events.emit("lease_taken",
                {{"duty", store.duty},
                 {"fence", std::to_string(next.fence)},
                 {"before", present.holder.text},
                 {"epoch", std::to_string(present.version.epoch)}});
    return lease_term{next.fence, requestedAt + bound / 2};
}

std::optional<lease_term> duty_lease::tryAcquire()
{
    const auto present = readIfAvailable();
    return present ? acquire(*present, {}) : std::nullopt;
}

} // namespace poplarspool::duties
