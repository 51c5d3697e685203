#include "gateway/cached_update_queue.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

constexpr unsigned runnerShift = 32;

std::uint64_t keyOf(const peer::cached_prefix &update)
{
    return (std::uint64_t{update.runner} << runnerShift) | update.prefixHash;
}

} // namespace

/// If a zone has no other members, the queue is never drained: without a bound, an instance alone
/// in its zone would queue updates until it runs out of memory. The oldest updates are the least
/// useful.
void cached_update_queue::add(const peer::cached_prefix &update)
{
    const update_key key = keyOf(update);
    const auto [entry, isNew] = pending.try_emplace(key);
    entry->second.isPrefilled = entry->second.isPrefilled || update.isPrefilled;
    entry->second.repeatsLeft = config::updateRepeats;
    if (!isNew)
        return;
    order.push_back(key);
    if (order.size() > config::maxPendingUpdates) {
        pending.erase(order.front());
        order.pop_front();
    }
}

std::vector<peer::cached_prefix> cached_update_queue::take(std::size_t count)
{
    std::vector<peer::cached_prefix> taken;
    count = std::min(count, order.size());
    for (std::size_t i = 0; i < count; ++i) {
        const update_key key = order.front();
        order.pop_front();
        const auto entry = pending.find(key);
        taken.push_back({static_cast<std::uint32_t>(key >> runnerShift),
                         static_cast<std::uint32_t>(key), entry->second.isPrefilled});
        if (--entry->second.repeatsLeft > 0)
            order.push_back(key);
        else
            pending.erase(entry);
    }
    return taken;
}

} // namespace poplarspool::gateway
