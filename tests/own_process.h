#pragma once

#include <cppunit/TestAssert.h>
#include <functional>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool::test {

/// @returns What the process is to end with.
inline int codeOf(const std::function<bool()> &run)
{
    try {
        return run() ? 0 : 1;
    } catch (...) {
        return 2;
    }
}

/// Runs in a process of its own, which an exception on any other of its threads ends.
inline void expectEndsWell(const std::function<bool()> &run)
{
    const pid_t child = fork();
    if (child == 0)
        _exit(codeOf(run));
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
    CPPUNIT_ASSERT_MESSAGE("ended by signal " + std::to_string(WTERMSIG(status)),
                           WIFEXITED(status));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(status));
}

} // namespace poplarspool::test
