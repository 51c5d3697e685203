#pragma once

#include "poplarspool/base/clock.h"

#include <algorithm>
#include <cstddef>

namespace poplarspool::peer {

/// Token bucket over bytes that holds one second's worth. It may be overdrawn by messages that must
/// not wait, such as answers to probes; what follows then waits longer.
class byte_budget
{
public:
    byte_budget(std::size_t bytesPerSecond, mono_time now)
        : rate(static_cast<double>(bytesPerSecond)), tokens(rate), filledAt(now)
    { }

    void refill(mono_time now)
    {
        const std::chrono::duration<double> elapsed = now - filledAt;
        tokens = std::min(rate, tokens + rate * elapsed.count());
        filledAt = now;
    }

    void spend(std::size_t bytes) { tokens = std::max(-rate, tokens - static_cast<double>(bytes)); }

    double perSecond() const { return rate; }
    std::size_t available() const { return tokens > 0 ? static_cast<std::size_t>(tokens) : 0; }

private:
    const double rate;
    double tokens;
    mono_time filledAt;
};

} // namespace poplarspool::peer
