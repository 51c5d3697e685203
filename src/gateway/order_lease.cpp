#include "poplarspool/gateway/order_lease.h"

namespace poplarspool::gateway {

order_lease::order_lease(lease_store store, instance_id self, milliseconds bound,
                         clock_source clock, journal &events)
    : store(std::move(store)), self(std::move(self)), bound(bound), clock(std::move(clock)),
      events(events)
{ }

/// The holder's clock is not ours. That its record stands unchanged for twice the bound shows that
/// whatever term it had taken is over: it could only have gone on by another write.
bool order_lease::isFreeFrom(const lease_record &found)
{
    if (found.holder == self)
        return true;
    const mono_time now = clock.mono();
    if (found.revision != seenRevision) {
        seenRevision = found.revision;
        seenAt = now;
    }
    return now - seenAt >= 2 * bound;
}

std::optional<lease_term> order_lease::tryTake()
{
    const auto found = store.read();
    if (!succeeded(found)) {
        events.emit("lease_unknown", {{"reason", errorOf(found).message}});
        return std::nullopt;
    }
    const std::optional<lease_record> &present = valueOf(found);
    if (present && !isFreeFrom(*present))
        return std::nullopt;
    lease_record next{self, 1, 0};
    if (present) {
        next.fence = present->fence + 1;
        next.revision = present->revision;
    }
    const mono_time askedAt = clock.mono();
    const auto written = store.write(next);
    if (!succeeded(written)) {
        // Where the write took effect after all, the record names this instance, and the next try
        // writes anew.
        events.emit("lease_missed", {{"reason", errorOf(written).message}});
        return std::nullopt;
    }
    events.emit("lease_taken",
                {{"fence", std::to_string(next.fence)},
                 {"before", present ? present->holder.text : ""}});
    return lease_term{next.fence, askedAt + bound / 2};
}

} // namespace poplarspool::gateway
