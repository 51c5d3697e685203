#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace poplarspool {

/// Threads made on demand up to a limit, with small stacks; idle ones end soon, so that a server at
/// rest has few. A job starts at once or is refused: none waits unseen in a queue.
class connection_threads
{
public:
    /// @param limit Jobs that run at once.
    explicit connection_threads(std::uint32_t limit);
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
