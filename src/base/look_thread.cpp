#include "poplarspool/base/look_thread.h"

#include <utility>

namespace poplarspool {

look_thread::look_thread(std::string name, milliseconds interval, step_faults faults,
                         std::function<void()> iteration)
    : name(std::move(name)), interval(interval), faults(faults), iteration(std::move(iteration))
{ }

look_thread::~look_thread()
{
    stop();
}

void look_thread::start()
{
    thread = startNamed(name, [this] { run(); });
}

void look_thread::requestStop()
{
    const std::lock_guard lock(guard);
    isStopping = true;
    stopped.notify_all();
}

void look_thread::stop()
{
    requestStop();
    if (thread.joinable())
        thread.join();
}

/// The interval also applies after a failed iteration.
void look_thread::run()
{
    std::unique_lock lock(guard);
    while (!stopped.wait_for(lock, interval, [this] { return isStopping; })) {
        lock.unlock();
        contained(faults, iteration);
        lock.lock();
    }
}

} // namespace poplarspool
