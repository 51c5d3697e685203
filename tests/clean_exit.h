#pragma once

#include <cppunit/TestAssert.h>
#include <functional>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool::test {

/// @returns The exit status: 0 if `run` returns true, 1 if false, 2 if it throws.
inline int exitCodeOf(const std::function<bool()> &run)
{
    try {
        return run() ? 0 : 1;
    } catch (...) {
        return 2;
    }
}

/// Runs `run` in a child process and expects that it returns true. For code whose failure
/// terminates the process, such as an uncaught exception on another thread.
inline void expectCleanExit(const std::function<bool()> &run)
{
    const pid_t child = fork();
    if (child == 0)
        _exit(exitCodeOf(run));
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
    CPPUNIT_ASSERT_MESSAGE("ended by signal " + std::to_string(WTERMSIG(status)),
                           WIFEXITED(status));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(status));
}

} // namespace poplarspool::test
