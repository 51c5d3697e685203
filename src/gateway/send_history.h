#pragma once

#include "poplarspool/base/clock.h"

#include <array>
#include <cstdint>

namespace poplarspool::gateway {

/// Counts the sends of the last second, in steps of a quarter of a second.
class send_history
{
public:
    void record(mono_time at)
    {
        advanceTo(stepOf(at));
        ++counts[index(last)];
    }

    std::uint32_t countAt(mono_time now)
    {
        advanceTo(stepOf(now));
        std::uint32_t sum = 0;
        for (const std::uint32_t count : counts)
            sum += count;
        return sum;
    }

private:
    static constexpr std::size_t steps = 4;
    static constexpr milliseconds stepTime{250};

    static std::int64_t stepOf(mono_time at) { return at.time_since_epoch() / stepTime; }
    static std::size_t index(std::int64_t step) { return static_cast<std::size_t>(step) % steps; }

    void advanceTo(std::int64_t step)
    {
        if (step - last >= static_cast<std::int64_t>(steps))
            counts = {};
        else
            for (std::int64_t next = last + 1; next <= step; ++next)
                counts[index(next)] = 0;
        last = step > last ? step : last;
    }

    std::array<std::uint32_t, steps> counts{};
    std::int64_t last = 0;
};

} // namespace poplarspool::gateway
