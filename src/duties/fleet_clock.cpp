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
        return at - entry.second.samples.back().takenAt > config::clockMemory;
    });
}

} // namespace

fleet_clock::fleet_clock(clock_source given) : clock(std::move(given))
{
    settle(clock.mono());
}

/// Latency makes a received time too early, so ahead() uses the sample that is furthest ahead;
/// delayed samples have no effect.
void fleet_clock::told_clock::add(const sample &received)
{
    std::erase_if(samples, [&received](const sample &one) {
        return received.takenAt - one.takenAt > config::clockMemory;
    });
    samples.push_back(received);
    if (samples.size() > config::clockSamples)
        samples.pop_front();
}

fleet_clock::offset fleet_clock::told_clock::ahead() const
{
    return std::ranges::max(samples, {}, &sample::ahead).ahead;
}

void fleet_clock::noteClock(std::uint64_t sender, wall_time received)
{
    const mono_time at = clock.mono();
    const std::lock_guard lock(guard);
    clocks[sender].add({offsetOf(received, at), at});
    settle(at);
}

void fleet_clock::noteEstimate(std::uint64_t sender, const fleet_time &received)
{
    const mono_time at = clock.mono();
    const std::lock_guard lock(guard);
    told_clock &known = estimates[sender];
    known.add({offsetOf(received.at, at), at});
    known.clocks = received.clocks;
    settle(at);
}

/// @attention Call with `guard` locked.
void fleet_clock::settle(mono_time at)
{
    removeExpired(clocks, at);
    removeExpired(estimates, at);
    std::vector<offset> offsets{offsetOf(clock.wall(), at)};
    for (const auto &entry : clocks)
        offsets.push_back(entry.second.ahead());
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    ofHeard = {*middle, static_cast<std::uint32_t>(offsets.size())};
    ofAll = ofHeard;
    for (const auto &entry : estimates) {
        if (entry.second.clocks > ofAll.clocks)
            ofAll = {entry.second.ahead(), entry.second.clocks};
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
    return timeOf(ofAll);
}

fleet_time fleet_clock::heard() const
{
    const std::lock_guard lock(guard);
    return timeOf(ofHeard);
}

} // namespace poplarspool::duties
