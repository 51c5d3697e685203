#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/named_thread.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace poplarspool {

/// A thread that looks at something again and again. A look that throws is logged, and the next
/// one goes on.
class look_thread
{
public:
    /// @param name Of the thread.
    /// @param pause Between two looks, and before the first.
    look_thread(std::string name, milliseconds pause, step_faults faults,
                std::function<void()> look);
    ~look_thread();
    look_thread(const look_thread &) = delete;
    look_thread &operator=(const look_thread &) = delete;

    void start();
    /// Begins no look any more. Doesn't wait: a look may be waiting for a slow answer.
    void requestStop();
    /// @attention Waits for the present look.
    void stop();

private:
    void run();

    const std::string name;
    const milliseconds pause;
    const step_faults faults;
    const std::function<void()> look;
    std::mutex guard;
    std::condition_variable stopped;
    bool isStopping = false;
    std::thread thread;
};

} // namespace poplarspool
