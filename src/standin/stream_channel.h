#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace poplarspool::standin {

enum class stream_state {
    Open,
    Finished,
    Exported, ///< Goes on elsewhere.
    Refused, ///< Dropped before it began.
    Cut, ///< Stopped in the middle.
};

struct stream_progress
{
    std::uint32_t produced = 0;
    stream_state state = stream_state::Open;
};

/// Carries a stream's progress from the batching thread to the connection's.
class stream_channel
{
public:
    void advance()
    {
        {
            const std::lock_guard guard(lock);
            ++now.produced;
        }
        changed.notify_one();
    }

    /// The first closing counts.
    void close(stream_state state)
    {
        {
            const std::lock_guard guard(lock);
            if (now.state == stream_state::Open)
                now.state = state;
        }
        changed.notify_one();
    }

    /// Waits for more than `known` tokens or the close.
    stream_progress wait(std::uint32_t known, std::chrono::milliseconds limit)
    {
        std::unique_lock guard(lock);
        changed.wait_for(guard, limit,
                         [&] { return now.produced > known || now.state != stream_state::Open; });
        return now;
    }

private:
    std::mutex lock;
    std::condition_variable changed;
    stream_progress now;
};

} // namespace poplarspool::standin
