#include "poplarspool/base/look_thread.h"

#include <utility>

namespace poplarspool {

look_thread::look_thread(std::string name, milliseconds pause, step_faults faults,
                         std::function<void()> look)
    : name(std::move(name)), pause(pause), faults(faults), look(std::move(look))
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

/// The time between two looks is the pause also after one that failed.
void look_thread::run()
{
    std::unique_lock lock(guard);
    while (!stopped.wait_for(lock, pause, [this] { return isStopping; })) {
        lock.unlock();
        contained(faults, look);
        lock.lock();
    }
}

} // namespace poplarspool
