#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/named_thread.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace poplarspool {

/// A thread that runs a function periodically. An exception ends one iteration and is logged; the
/// next iteration runs as usual.
class periodic_thread
{
public:
    /// @param name Name of the thread.
    /// @param interval Pause between two iterations, and before the first.
    periodic_thread(std::string name, milliseconds interval, step_failure_reporter faults,
                    std::function<void()> iteration);
    ~periodic_thread();
    periodic_thread(const periodic_thread &) = delete;
    periodic_thread &operator=(const periodic_thread &) = delete;

    void start();
    /// Prevents further iterations. Doesn't wait for the current one, which may take long.
    void requestStop();
    /// Prevents further iterations.
    /// @attention Waits for the current iteration.
    void stop();

private:
    void run();

    const std::string name;
    const milliseconds interval;
    const step_failure_reporter faults;
    const std::function<void()> iteration;
    std::mutex guard;
    std::condition_variable stopped;
    bool isStopping = false;
    std::thread thread;
};

} // namespace poplarspool
