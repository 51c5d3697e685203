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
    std::uint64_t next = 0;
    bool hasGap = false; ///< What was asked from is no longer, or not yet, in this life's log.
};

/// Bounded log of cache events that shows them late and loses some, as engines do.
class cache_event_log
{
public:
    /// @param gapEvery Every how manieth event is lost without a word; 0: none.
    cache_event_log(std::chrono::nanoseconds delay, std::uint32_t gapEvery);

    void add(bool isStored, std::uint64_t hash, std::chrono::steady_clock::time_point now);
    cache_event_page read(std::uint64_t after, std::chrono::steady_clock::time_point now) const;
    /// A new life numbers from 1 again.
    void restart();

private:
    std::chrono::nanoseconds delay;
    std::uint32_t gapEvery;
    std::uint64_t last = 0;
    std::uint64_t dropped = 0; ///< Highest number that fell out at the old end.
    std::deque<logged_cache_event> ring;
};

} // namespace poplarspool::standin
