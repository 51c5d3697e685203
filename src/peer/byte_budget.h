#pragma once

#include "poplarspool/base/clock.h"

#include <algorithm>
#include <cstddef>

namespace poplarspool::peer {

/// Token bucket that limits bytes per second; its capacity is one second's worth. Messages that
/// must not wait, such as acks of probes, may overdraw it by one second's worth; later ones wait
/// longer.
class byte_budget
{
public:
    byte_budget(std::size_t bytesPerSecond, mono_time now)
        : rate(static_cast<double>(bytesPerSecond)), tokens(rate), refilledAt(now)
    { }

    void refill(mono_time now)
    {
        const std::chrono::duration<double> elapsed = now - refilledAt;
        tokens = std::min(rate, tokens + rate * elapsed.count());
        refilledAt = now;
    }

    void consume(std::size_t bytes)
    {
        tokens = std::max(-rate, tokens - static_cast<double>(bytes));
    }

    double ratePerSecond() const { return rate; }
    std::size_t available() const { return tokens > 0 ? static_cast<std::size_t>(tokens) : 0; }

private:
    const double rate;
    double tokens;
    mono_time refilledAt;
};

} // namespace poplarspool::peer
