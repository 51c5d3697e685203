#pragma once

#include "poplarspool/base/named_thread.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarspool {

/// Threads made on demand up to a limit, with small stacks; idle ones end soon, so that a server at
/// rest has few. A job starts at once or is refused: none waits unseen in a queue. One that throws
/// is given up, and its thread goes on.
class connection_threads
{
public:
    /// @param name Of each of its threads.
    /// @param limit Jobs that run at once.
    connection_threads(std::string name, std::uint32_t limit, step_faults faults);
    ~connection_threads();

    /// @returns False where the limit is reached or the system gives no thread.
    bool run(std::function<void()> job);

    /// Waits until no job runs and all threads have ended.
    void join();

private:
    struct state;
    std::shared_ptr<state> inner;
};

} // namespace poplarspool
