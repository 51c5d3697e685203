#include "standin/cache_event_log.h"

namespace poplarspool::standin {

namespace {

constexpr std::size_t ringSize = 8192;
constexpr std::size_t pageSize = 1024;

} // namespace

cache_event_log::cache_event_log(std::chrono::nanoseconds delay, std::uint32_t gapEvery)
    : delay(delay), gapEvery(gapEvery)
{ }

void cache_event_log::add(bool isStored, std::uint64_t hash,
                          std::chrono::steady_clock::time_point now)
{
    ++last;
    if (gapEvery != 0 && last % gapEvery == 0)
        return;
    ring.push_back({last, isStored, hash, now});
    if (ring.size() <= ringSize)
        return;
    lastDropped = ring.front().sequence;
    ring.pop_front();
}

cache_event_page cache_event_log::read(std::uint64_t after,
                                       std::chrono::steady_clock::time_point now) const
{
    cache_event_page page;
    page.hasGap = after < lastDropped || after > last;
    const std::uint64_t from = after > last ? 0 : after;
    page.next = from;
    for (const logged_cache_event &entry : ring) {
        if (entry.at + delay > now || page.events.size() == pageSize)
            break;
        if (entry.sequence <= from)
            continue;
        page.events.push_back(entry);
        page.next = entry.sequence;
    }
    return page;
}

void cache_event_log::restart()
{
    ring.clear();
    last = 0;
    lastDropped = 0;
}

} // namespace poplarspool::standin
