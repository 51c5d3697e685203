#pragma once

#include "poplarspool/base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>

namespace poplarspool::duties {

/// True time, as well as it is known.
struct fleet_time
{
    wall_time at{};
    std::uint32_t clocks = 1; ///< That the estimate rests on.

    bool operator==(const fleet_time &) const = default;
};

/// Estimates true time from the times of day of all instances: one instance's own may be seconds
/// off, and jump. The estimate is the median of those that are heard, and of one who hears few, the
/// estimate of whoever hears most. It is right as long as more than half of these clocks are, but
/// for the time that a message takes. Between two tellings it goes on by the monotonic clock, which
/// no jump changes. All members may be called from any thread.
class fleet_clock
{
public:
    explicit fleet_clock(clock_source clock);

    /// Another instance has told its own time of day.
    void noteClock(std::uint64_t sender, wall_time told);
    /// It has told what it makes of the clocks that it hears.
    void noteEstimate(std::uint64_t sender, const fleet_time &told);
    fleet_time now() const;
    /// @returns What to tell others: only of clocks heard here. Estimates that went on from one to
    ///          the next would never end.
    fleet_time heard() const;

private:
    using offset = std::chrono::milliseconds; ///< Of a time of day, from the own monotonic clock.

    struct sample
    {
        offset ahead{};
        mono_time takenAt{};
    };

    struct fleet_offset
    {
        offset ahead{};
        std::uint32_t clocks = 1;
    };

    /// What one sender has told lately.
    struct told_clock
    {
        std::deque<sample> samples;
        std::uint32_t clocks = 1;

        void add(const sample &told);
        offset ahead() const;
    };

    void settle(mono_time at);
    fleet_time timeOf(const fleet_offset &found) const;

    const clock_source clock;
    mutable std::mutex guard;
    std::map<std::uint64_t, told_clock> clocks;
    std::map<std::uint64_t, told_clock> estimates;
    fleet_offset ofHeard;
    fleet_offset ofAll;
};

} // namespace poplarspool::duties
