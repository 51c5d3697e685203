#pragma once

#include <cstdint>
#include <mutex>
#include <utility>

namespace poplarspool {

/// Bounds the lines of each second: in a storm of failures, writing about them must not take the
/// time that serving needs. What is left out is counted, and the next second begins by saying so.
class line_budget
{
public:
    explicit line_budget(std::uint64_t most) : most(most) { }

    /// @param leftOut Becomes the number of lines left out in seconds that are over.
    /// @returns Whether a line may be written.
    bool take(std::int64_t second, std::uint64_t &leftOut)
    {
        const std::lock_guard lock(guard);
        leftOut = 0;
        if (second != present) {
            present = second;
            written = 0;
            leftOut = std::exchange(dropped, 0);
        }
        if (written >= most) {
            ++dropped;
            return false;
        }
        ++written;
        return true;
    }

private:
    const std::uint64_t most; ///< Lines in one second.
    std::mutex guard;
    std::int64_t present = 0;
    std::uint64_t written = 0;
    std::uint64_t dropped = 0;
};

} // namespace poplarspool
