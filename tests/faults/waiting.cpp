#include "faults/waiting.h"

#include <chrono>
#include <thread>

namespace poplarspool::faults {

namespace {

/// Only ends scenarios that would wait forever; no scenario measures time with it.
constexpr std::chrono::seconds safetyTimeout{60};
constexpr std::chrono::milliseconds pollInterval{50};

} // namespace

bool pollUntil(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + safetyTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    expect(pollUntil(condition), "timed out waiting for: " + what);
}

void expect(bool holds, const std::string &what)
{
    if (!holds)
        throw expectation_failed(what);
}

} // namespace poplarspool::faults
