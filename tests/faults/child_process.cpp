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

constexpr int signalStatusBase = 128;
constexpr int execFailedStatus = 127;

/// Runs in the forked child, so it may only make calls that are safe between fork and exec.
[[noreturn]] void runChild(char *const *argv, int log)
{
    // The child must not outlive this program, even if this program is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(argv[0], argv);
    _exit(execFailedStatus);
}

} // namespace

child_process::child_process(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<std::string> strings = arguments;
    std::vector<char *> argv;
    argv.reserve(strings.size() + 1);
    for (std::string &text : strings)
        argv.push_back(text.data());
    argv.push_back(nullptr);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid = fork();
    if (pid == 0)
        runChild(argv.data(), log);
    close(log);
    if (pid < 0)
        throw std::runtime_error("fork failed: " + arguments.front());
}

child_process::~child_process()
{
    kill();
}

void child_process::reap(int options)
{
    int status = 0;
    if (exitStatus || waitpid(pid, &status, options) != pid || WIFSTOPPED(status))
        return;
    exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : signalStatusBase + WTERMSIG(status);
}

void child_process::kill()
{
    if (exitStatus)
        return;
    ::kill(pid, SIGKILL);
    reap(0);
}

void child_process::freeze()
{
    ::kill(pid, SIGSTOP);
    reap(WUNTRACED);
}

void child_process::unfreeze()
{
    ::kill(pid, SIGCONT);
}

void child_process::terminate()
{
    ::kill(pid, SIGTERM);
}

void child_process::send(int signal)
{
    ::kill(pid, signal);
}

bool child_process::hasEnded()
{
    reap(WNOHANG);
    return exitStatus.has_value();
}

std::optional<int> child_process::waitForExit()
{
    pollUntil([this] {
        reap(WNOHANG);
        return exitStatus.has_value();
    });
    return exitStatus;
}

} // namespace poplarspool::faults
