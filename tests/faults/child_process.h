#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace poplarspool::faults {

/// A process started by a scenario. The destructor kills it by its process id.
class child_process
{
public:
    /// @param arguments The program's path, and its arguments.
    /// @param logFile Standard output and error of the process are appended to it.
    /// @throws std::runtime_error If the process can't be forked.
    child_process(const std::vector<std::string> &arguments, const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void kill();
    /// Sends SIGSTOP. Returns once the process has stopped and can no longer have any effect.
    void freeze();
    void unfreeze();
    void terminate();
    /// Sends a signal that does not end the process.
    void send(int signal);
    /// @returns The exit status, or 128 plus the signal's number if a signal ended the process.
    ///          None if it is still running after the safety timeout.
    std::optional<int> waitForExit();
    /// @returns Whether the process has ended; does not wait.
    bool hasEnded();
    bool isRunning() const { return !exitStatus; }

private:
    void reap(int options);

    pid_t pid = -1;
    std::optional<int> exitStatus;
};

} // namespace poplarspool::faults
