#include "faults/waiting.h"

#include <chrono>
#include <thread>

namespace poplarspool::faults {

namespace {

/// No verdict rests on it: it only ends a scenario that would never end.
constexpr std::chrono::seconds safetyTime{60};
constexpr std::chrono::milliseconds lookPause{50};

} // namespace

bool holdsInTime(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + safetyTime;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(lookPause);
    }
    return true;
}

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    expect(holdsInTime(condition), "not in time: " + what);
}

void expect(bool holds, const std::string &what)
{
    if (!holds)
        throw expectation_failed(what);
}

} // namespace poplarspool::faults
