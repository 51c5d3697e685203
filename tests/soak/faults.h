#pragma once

#include "soak/fleet.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace poplarspool::soak {

using steady_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Steps at their times, all on one thread, so that faults overlap without locks.
class schedule
{
public:
    void after(milliseconds delay, std::function<void()> step);
    void runUntil(steady_time end);

private:
    std::multimap<steady_time, std::function<void()>> steps;
};

/// A time in which a fault has effects.
using disturbance = std::pair<steady_time, steady_time>;

/// Injects faults of one kind after the other into a fleet, or all kinds beside each other.
class fault_series
{
public:
    /// @param seed Of the choices of places and times.
    fault_series(fleet &processes, std::uint64_t seed);

    static std::vector<std::string> kinds();
    /// @param kind One of kinds(), "none" or "mixed".
    /// @param outliveMs Time for which a listening process outlives its run; 0: various.
    void run(const std::string &kind, std::uint32_t outliveMs, milliseconds time);

    const std::vector<disturbance> &disturbances() const { return disturbed; }
    /// Faults that were injected, by kind.
    const std::map<std::string, std::uint32_t> &counts() const { return struck; }

private:
    using strike = bool (fault_series::*)();
    static const std::map<std::string, strike> &strikes();

    void repeat(const std::string &kind, milliseconds pause);
    // Each returns false if what it could use is disturbed by another fault.
    bool killRun();
    bool killRunBeforeListener();
    bool killPartOfRun();
    bool replaceRun();
    bool leave();
    bool freezeGateway();
    bool killCarrier();
    bool drainCarrier();
    bool refuseLinks();

    runner_place *choosePlace(bool needsProcesses = false);
    gateway_process *chooseGateway(std::size_t from);
    void restoreRun(runner_place &place);
    void restartGateway(gateway_process &one);
    void note(const std::string &text);
    void disturb(milliseconds time);
    milliseconds between(std::uint32_t least, std::uint32_t most);

    fleet &processes;
    std::mt19937_64 random;
    schedule steps;
    std::uint32_t outliveMs = 0;
    milliseconds kindPause{0}; ///< At least, between two faults of one kind.
    steady_time end;
    std::vector<disturbance> disturbed;
    std::map<std::string, std::uint32_t> struck;
};

} // namespace poplarspool::soak
