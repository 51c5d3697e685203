#pragma once

#include "poplarspool/base/named_thread.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarspool {

/// Thread pool that creates threads on demand up to a limit, with small stacks. Idle threads end
/// after config::idleThreadTimeout, so that an idle server has few. A job starts immediately or is
/// rejected; none waits in a queue. An exception ends the job but not its thread.
class connection_threads
{
public:
    /// @param name Name of each thread of the pool.
    /// @param limit Maximum number of concurrent jobs.
    connection_threads(std::string name, std::uint32_t limit, step_failure_reporter faults);
    ~connection_threads();

    /// @returns False if the limit is reached or the system can't create a thread.
    bool run(std::function<void()> job);

    /// Rejects further jobs and waits until all threads have ended.
    void join();

private:
    struct state;
    std::shared_ptr<state> inner;
};

} // namespace poplarspool
