#pragma once

#include <cstdint>
#include <mutex>
#include <utility>

namespace poplarspool {

/// Limits the number of log lines per second, so that logging many failures doesn't take the time
/// needed to serve requests. Dropped lines are counted, and the count is reported with the first
/// line of a later second.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(std::uint64_t maxLines) : maxLines(maxLines) { }

    /// @param droppedBefore Set to the number of unreported lines of earlier seconds.
    /// @returns Whether a line may be written.
    bool tryAcquire(std::int64_t second, std::uint64_t &droppedBefore)
    {
        const std::lock_guard lock(guard);
        droppedBefore = 0;
        if (second != currentSecond) {
            currentSecond = second;
            written = 0;
            droppedBefore = std::exchange(dropped, 0);
        }
        if (written >= maxLines) {
            ++dropped;
            return false;
        }
        ++written;
        return true;
    }

private:
    const std::uint64_t maxLines; ///< Per second.
    std::mutex guard;
    std::int64_t currentSecond = 0;
    std::uint64_t written = 0;
    std::uint64_t dropped = 0;
};

} // namespace poplarspool
