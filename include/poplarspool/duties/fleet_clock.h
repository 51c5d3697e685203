#pragma once

#include "poplarspool/base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>

namespace poplarspool::duties {

/// Estimate of true time.
struct fleet_time
{
    wall_time at{};
    std::uint32_t clocks = 1; ///< Number of clocks in the estimate.

    bool operator==(const fleet_time &) const = default;
};

/// Estimates true time from the wall clocks of all instances, since the clock of a single instance
/// may be seconds off or jump. The estimate is the median of the local clock and the clocks
/// received directly, or the estimate of another instance if that one is based on more clocks. It
/// is correct, apart from message latency, as long as more than half of these clocks are. Between
/// updates it advances with the monotonic clock, which does not jump. Thread-safe.
class fleet_clock
{
public:
    explicit fleet_clock(clock_source clock);

    /// Records the wall clock time that another instance has sent.
    void recordClock(std::uint64_t sender, wall_time received);
    /// Records the estimate that another instance has made from the clocks it receives.
    void recordEstimate(std::uint64_t sender, const fleet_time &received);
    fleet_time now() const;
    /// @returns The estimate to send to others, made only from the clocks received here. An
    ///          estimate that instances passed on to each other would never expire.
    fleet_time directEstimate() const;

private:
    using offset = std::chrono::milliseconds; ///< Of a wall clock from the local monotonic clock.

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

    /// Recent samples from one sender.
    struct received_clock
    {
        std::deque<sample> samples;
        std::uint32_t clocks = 1;

        void add(const sample &received);
        offset ahead() const;
    };

    void updateOffsets(mono_time at);
    fleet_time timeOf(const fleet_offset &found) const;

    const clock_source clock;
    mutable std::mutex guard;
    std::map<std::uint64_t, received_clock> clocks;
    std::map<std::uint64_t, received_clock> estimates;
    fleet_offset directOffset;
    fleet_offset bestOffset;
};

} // namespace poplarspool::duties
