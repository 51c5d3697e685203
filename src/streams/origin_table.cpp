#include "streams/origin_table.h"

#include <algorithm>

namespace poplarspool::streams {

origin_table::origin_table(std::size_t maxRecords) : maxRecords(maxRecords) { }

std::size_t origin_table::record(stream_key key, const stream_origin &origin, mono_time now)
{
    const auto [found, isNew] = origins.try_emplace(key, kept_origin{origin});
    kept_origin &kept = found->second;
    if (!isNew && kept.origin.expiresAt <= now) {
        kept = {origin};
    } else if (!isNew) {
        kept.isAmbiguous = kept.isAmbiguous || kept.origin.version != origin.version;
        kept.origin.expiresAt = std::max(kept.origin.expiresAt, origin.expiresAt);
    }
    queue.push_back({key, kept.origin.expiresAt});
    return evict(now);
}

std::optional<stream_origin> origin_table::find(stream_key key, mono_time now) const
{
    const auto found = origins.find(key);
    if (found == origins.end() || found->second.isAmbiguous
        || found->second.origin.expiresAt <= now)
        return std::nullopt;
    return found->second.origin;
}

/// Removes expired records and, beyond the maximum, the oldest ones. The queue is bounded as well,
/// since a key that is renewed stands in it several times.
std::size_t origin_table::evict(mono_time now)
{
    std::size_t evicted = 0;
    while (!queue.empty()) {
        const queued_key oldest = queue.front();
        const bool isExpired = oldest.expiresAt <= now;
        if (!isExpired && origins.size() <= maxRecords && queue.size() <= 2 * maxRecords)
            break;
        queue.pop_front();
        const auto found = origins.find(oldest.key);
        // A renewed record is removed at its last place in the queue.
        const bool isRenewed =
                found == origins.end() || found->second.origin.expiresAt != oldest.expiresAt;
        if (isRenewed)
            continue;
        evicted += isExpired ? 0 : 1;
        origins.erase(found);
    }
    return evicted;
}

} // namespace poplarspool::streams
