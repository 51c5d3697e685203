#include "base/connection_threads.h"

#include "poplarspool/base/limits.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <pthread.h>

namespace poplarspool {

struct connection_threads::state
{
    state(std::string name, std::uint32_t limit, step_failure_reporter faults)
        : name(std::move(name)), limit(limit), faults(faults)
    { }

    void work(std::function<void()> job);
    bool waitForJob(std::function<void()> &job);

    const std::string name;
    const std::uint32_t limit;
    const step_failure_reporter faults;
    std::mutex guard;
    std::condition_variable jobAvailable;
    std::condition_variable threadEnded;
    std::deque<std::function<void()>> pendingJobs; ///< An idle thread is reserved for each.
    std::uint32_t busy = 0;
    std::uint32_t idle = 0; ///< Idle threads without a pending job.
    std::uint32_t threads = 0;
    bool isStopping = false;
};

/// Waits for a job. Returns false if this thread is to end.
bool connection_threads::state::waitForJob(std::function<void()> &job)
{
    std::unique_lock lock(guard);
    ++idle;
    jobAvailable.wait_for(lock, config::idleThreadTimeout,
                          [this] { return !pendingJobs.empty() || isStopping; });
    if (pendingJobs.empty()) {
        --idle;
        return false;
    }
    job = std::move(pendingJobs.front());
    pendingJobs.pop_front();
    return true;
}

void connection_threads::state::work(std::function<void()> job)
{
    setThreadName(name);
    do {
        runLoggingExceptions(faults, job);
        job = nullptr;
        const std::lock_guard lock(guard);
        --busy;
    } while (waitForJob(job));
    const std::lock_guard lock(guard);
    --threads;
    threadEnded.notify_all();
}

namespace {

/// Body of a thread, which keeps the shared state alive until it has ended.
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

connection_threads::connection_threads(std::string name, std::uint32_t limit,
                                       step_failure_reporter faults)
    : inner(std::make_shared<state>(std::move(name), limit, faults))
{ }

connection_threads::~connection_threads()
{
    join();
}

bool connection_threads::run(std::function<void()> job)
{
    const std::lock_guard lock(inner->guard);
    if (inner->busy >= inner->limit || inner->isStopping)
        return false;
    if (inner->idle > 0) {
        inner->pendingJobs.push_back(std::move(job));
        --inner->idle;
        inner->jobAvailable.notify_one();
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
    inner->isStopping = true;
    inner->jobAvailable.notify_all();
    inner->threadEnded.wait(lock, [this] { return inner->threads == 0; });
}

} // namespace poplarspool
