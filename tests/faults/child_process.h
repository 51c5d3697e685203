#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace poplarspool::faults {

/// One process that a scenario started. It is killed by its id when this object goes.
class child_process
{
public:
    /// @param logFile Gets what the process writes.
    /// @throws std::runtime_error Where it can't be started.
    child_process(const std::vector<std::string> &words, const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void kill();
    /// Returns once the process has stopped: nothing that it does can come later.
    void freeze();
    void wake();
    void terminate();
    /// @returns Its exit status, 128 and the signal's number where a signal ended it; none where it
    ///          goes on beyond the safety time.
    std::optional<int> waitForEnd();
    bool isRunning() const { return !endedWith; }

private:
    void reap(int options);

    pid_t pid = -1;
    std::optional<int> endedWith;
};

} // namespace poplarspool::faults
