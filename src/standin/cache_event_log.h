#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace poplarspool::standin {

struct logged_cache_event
{
    std::uint64_t sequence = 0;
    bool isStored = false;
    std::uint64_t hash = 0;
    std::chrono::steady_clock::time_point at{};
};

struct cache_event_page
{
    std::vector<logged_cache_event> events;
    std::uint64_t next = 0; ///< Position to read the next page from.
    /// Events after the requested position are no longer, or not yet, in this incarnation's log.
    bool hasGap = false;
};

/// Bounded log of cache events that publishes them with a delay and loses some, as engines do.
class cache_event_log
{
public:
    /// @param delay Time until an event becomes visible.
    /// @param gapEvery Silently drops every Nth event; 0: none.
    cache_event_log(std::chrono::nanoseconds delay, std::uint32_t gapEvery);

    void add(bool isStored, std::uint64_t hash, std::chrono::steady_clock::time_point now);
    cache_event_page read(std::uint64_t after, std::chrono::steady_clock::time_point now) const;
    /// Starts a new incarnation: drops all events and numbers from 1 again.
    void restart();

private:
    std::chrono::nanoseconds delay;
    std::uint32_t gapEvery;
    std::uint64_t last = 0;
    std::uint64_t lastDropped = 0; ///< Highest number that was dropped because the log was full.
    std::deque<logged_cache_event> ring;
};

} // namespace poplarspool::standin
