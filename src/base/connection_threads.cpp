#include "base/connection_threads.h"

#include "poplarspool/config.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <pthread.h>

namespace poplarspool {

struct connection_threads::state
{
    state(std::string name, std::uint32_t limit, step_faults faults)
        : name(std::move(name)), limit(limit), faults(faults)
    { }

    void work(std::function<void()> job);
    bool takeJob(std::function<void()> &job);

    const std::string name;
    const std::uint32_t limit;
    const step_faults faults;
    std::mutex guard;
    std::condition_variable jobGiven;
    std::condition_variable threadEnded;
    std::deque<std::function<void()>> handedOver; ///< Each has its idle thread already.
    std::uint32_t busy = 0;
    std::uint32_t waiting = 0; ///< Idle threads that no job was handed to.
    std::uint32_t threads = 0;
    bool isEnding = false;
};

/// Waits for a job; false where this thread shall end.
bool connection_threads::state::takeJob(std::function<void()> &job)
{
    std::unique_lock lock(guard);
    ++waiting;
    jobGiven.wait_for(lock, config::idleThreadTime,
                      [this] { return !handedOver.empty() || isEnding; });
    if (handedOver.empty()) {
        --waiting;
        return false;
    }
    job = std::move(handedOver.front());
    handedOver.pop_front();
    return true;
}

void connection_threads::state::work(std::function<void()> job)
{
    nameThisThread(name);
    do {
        contained(faults, job);
        job = nullptr;
        const std::lock_guard lock(guard);
        --busy;
    } while (takeJob(job));
    const std::lock_guard lock(guard);
    --threads;
    threadEnded.notify_all();
}

namespace {

/// Each thread keeps the shared state alive until it has ended.
using thread_start = std::function<void()>;

void *runThread(void *argument)
{
    const std::unique_ptr<thread_start> start(static_cast<thread_start *>(argument));
    (*start)();
    return nullptr;
}

bool startDetached(thread_start start)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, config::connectionStackBytes);
    auto argument = std::make_unique<thread_start>(std::move(start));
    pthread_t thread{};
    const bool started = pthread_create(&thread, &attributes, runThread, argument.get()) == 0;
    pthread_attr_destroy(&attributes);
    if (started)
        static_cast<void>(argument.release());
    return started;
}

} // namespace

connection_threads::connection_threads(std::string name, std::uint32_t limit, step_faults faults)
    : inner(std::make_shared<state>(std::move(name), limit, faults))
{ }

connection_threads::~connection_threads()
{
    join();
}

bool connection_threads::run(std::function<void()> job)
{
    const std::lock_guard lock(inner->guard);
    if (inner->busy >= inner->limit || inner->isEnding)
        return false;
    if (inner->waiting > 0) {
        inner->handedOver.push_back(std::move(job));
        --inner->waiting;
        inner->jobGiven.notify_one();
    } else {
        if (!startDetached([shared = inner, job] { shared->work(job); }))
            return false;
        ++inner->threads;
    }
    ++inner->busy;
    return true;
}

void connection_threads::join()
{
    std::unique_lock lock(inner->guard);
    inner->isEnding = true;
    inner->jobGiven.notify_all();
    inner->threadEnded.wait(lock, [this] { return inner->threads == 0; });
}

} // namespace poplarspool
