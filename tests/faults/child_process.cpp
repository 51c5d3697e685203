#include "faults/child_process.h"

#include "faults/waiting.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool::faults {

namespace {

constexpr int signalStatus = 128;
constexpr int execFailed = 127;

/// Runs in the forked child: only calls that are safe between fork and exec.
[[noreturn]] void runChild(char *const *arguments, int log)
{
    // A driver that is killed leaves no fleet behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments);
    _exit(execFailed);
}

} // namespace

child_process::child_process(const std::vector<std::string> &words, const std::string &logFile)
{
    std::vector<std::string> copies = words;
    std::vector<char *> arguments;
    arguments.reserve(copies.size() + 1);
    for (std::string &word : copies)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid = fork();
    if (pid == 0)
        runChild(arguments.data(), log);
    close(log);
    if (pid < 0)
        throw std::runtime_error("fork: " + words.front());
}

child_process::~child_process()
{
    kill();
}

void child_process::reap(int options)
{
    int status = 0;
    if (endedWith || waitpid(pid, &status, options) != pid || WIFSTOPPED(status))
        return;
    endedWith = WIFEXITED(status) ? WEXITSTATUS(status) : signalStatus + WTERMSIG(status);
}

void child_process::kill()
{
    if (endedWith)
        return;
    ::kill(pid, SIGKILL);
    reap(0);
}

void child_process::freeze()
{
    ::kill(pid, SIGSTOP);
    reap(WUNTRACED);
}

void child_process::wake()
{
    ::kill(pid, SIGCONT);
}

void child_process::terminate()
{
    ::kill(pid, SIGTERM);
}

std::optional<int> child_process::waitForEnd()
{
    holdsInTime([this] {
        reap(WNOHANG);
        return endedWith.has_value();
    });
    return endedWith;
}

} // namespace poplarspool::faults
