#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace poplarspool::standin {

enum class stream_state {
    Open,
    Finished,
    Exported, ///< Continues on another engine.
    Refused, ///< Dropped before it started.
    Cut, ///< Ended before it was complete.
};

struct stream_progress
{
    std::uint32_t produced = 0;
    stream_state state = stream_state::Open;
};

/// Passes a stream's progress from the batching thread to the thread of its connection.
class stream_channel
{
public:
    void advance()
    {
        {
            const std::lock_guard guard(lock);
            ++progress.produced;
        }
        changed.notify_one();
    }

    /// Sets the final state; later calls have no effect.
    void close(stream_state state)
    {
        {
            const std::lock_guard guard(lock);
            if (progress.state == stream_state::Open)
                progress.state = state;
        }
        changed.notify_one();
    }

    /// Waits until more than `known` tokens are produced, the stream is closed, or `limit` has
    /// passed.
    stream_progress wait(std::uint32_t known, std::chrono::milliseconds limit)
    {
        std::unique_lock guard(lock);
        changed.wait_for(guard, limit, [&] {
            return progress.produced > known || progress.state != stream_state::Open;
        });
        return progress;
    }

private:
    std::mutex lock;
    std::condition_variable changed;
    stream_progress progress;
};

} // namespace poplarspool::standin
