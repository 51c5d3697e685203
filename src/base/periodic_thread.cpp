#include "poplarspool/base/periodic_thread.h"

#include <utility>

namespace poplarspool {

periodic_thread::periodic_thread(std::string name, milliseconds interval,
                                 step_failure_reporter faults, std::function<void()> iteration)
    : name(std::move(name)), interval(interval), faults(faults), iteration(std::move(iteration))
{ }

periodic_thread::~periodic_thread()
{
    stop();
}

void periodic_thread::start()
{
    thread = startNamedThread(name, [this] { run(); });
}

void periodic_thread::requestStop()
{
    const std::lock_guard lock(guard);
    isStopping = true;
    stopped.notify_all();
}

void periodic_thread::stop()
{
    requestStop();
    if (thread.joinable())
        thread.join();
}

/// The interval also applies after a failed iteration.
void periodic_thread::run()
{
    std::unique_lock lock(guard);
    while (!stopped.wait_for(lock, interval, [this] { return isStopping; })) {
        lock.unlock();
        runLoggingExceptions(faults, iteration);
        lock.lock();
    }
}

} // namespace poplarspool
