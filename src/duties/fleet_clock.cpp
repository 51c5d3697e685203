#include "poplarspool/duties/fleet_clock.h"

#include "poplarspool/duties/limits.h"

#include <algorithm>
#include <vector>

namespace poplarspool::duties {

namespace {

milliseconds offsetOf(wall_time time, mono_time at)
{
    return time.time_since_epoch()
            - std::chrono::duration_cast<milliseconds>(at.time_since_epoch());
}

template <class Clocks>
void removeExpired(Clocks &clocks, mono_time at)
{
    std::erase_if(clocks, [at](const auto &entry) {
        return at - entry.second.samples.back().takenAt > config::clockRetention;
    });
}

} // namespace

fleet_clock::fleet_clock(clock_source given) : clock(std::move(given))
{
    updateOffsets(clock.mono());
}

/// Latency makes a received time too early, so ahead() uses the sample that is furthest ahead;
/// delayed samples have no effect.
void fleet_clock::received_clock::add(const sample &received)
{
    std::erase_if(samples, [&received](const sample &one) {
        return received.takenAt - one.takenAt > config::clockRetention;
    });
    samples.push_back(received);
    if (samples.size() > config::maxClockSamples)
        samples.pop_front();
}

fleet_clock::offset fleet_clock::received_clock::ahead() const
{
    return std::ranges::max(samples, {}, &sample::ahead).ahead;
}

void fleet_clock::recordClock(std::uint64_t sender, wall_time received)
{
    const mono_time at = clock.mono();
    const std::lock_guard lock(guard);
    clocks[sender].add({offsetOf(received, at), at});
    updateOffsets(at);
}

void fleet_clock::recordEstimate(std::uint64_t sender, const fleet_time &received)
{
    const mono_time at = clock.mono();
    const std::lock_guard lock(guard);
    received_clock &known = estimates[sender];
    known.add({offsetOf(received.at, at), at});
    known.clocks = received.clocks;
    updateOffsets(at);
}

/// @attention Call with `guard` locked.
void fleet_clock::updateOffsets(mono_time at)
{
    removeExpired(clocks, at);
    removeExpired(estimates, at);
    std::vector<offset> offsets{offsetOf(clock.wall(), at)};
    for (const auto &entry : clocks)
        offsets.push_back(entry.second.ahead());
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    directOffset = {*middle, static_cast<std::uint32_t>(offsets.size())};
    bestOffset = directOffset;
    for (const auto &entry : estimates) {
        if (entry.second.clocks > bestOffset.clocks)
            bestOffset = {entry.second.ahead(), entry.second.clocks};
    }
}

fleet_time fleet_clock::timeOf(const fleet_offset &found) const
{
    const auto since = std::chrono::duration_cast<milliseconds>(clock.mono().time_since_epoch());
    return {wall_time(since + found.ahead), found.clocks};
}

fleet_time fleet_clock::now() const
{
    const std::lock_guard lock(guard);
    return timeOf(bestOffset);
}

fleet_time fleet_clock::directEstimate() const
{
    const std::lock_guard lock(guard);
    return timeOf(directOffset);
}

} // namespace poplarspool::duties
