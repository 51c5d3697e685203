#include "poplarspool/base/named_thread.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool {

namespace {

/// Clock whose wall time throws once after isFailing is set.
struct failing_clock
{
    clock_source source()
    {
        clock_source clock = systemClock();
        clock.wall = [this, wall = clock.wall] {
            if (isFailing.exchange(false))
                throw std::runtime_error("no time");
            return wall();
        };
        return clock;
    }

    std::atomic<bool> isFailing{false};
};

/// Exception whose what() takes 300 ms.
struct slow_exception : std::exception
{
    const char *what() const noexcept override
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return "slow";
    }
};

void throwWhileJournalIsLocked()
{
    failing_clock clock;
    journal events({"edge-1"}, clock.source(), 8);
    const uncaught_exception_logger uncaught(events);
    clock.isFailing = true;
    startNamedThread("watch", [&] { events.emit("any"); }).join();
}

void throwOnTwoThreads()
{
    journal events({"edge-1"}, systemClock(), 8);
    const uncaught_exception_logger uncaught(events);
    std::thread first = startNamedThread("first", [] { throw slow_exception(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    startNamedThread("second", [] { throw std::runtime_error("too"); }).join();
    first.join();
}

void throwWithTwoLoggers()
{
    journal events({"edge-1"}, systemClock(), 8);
    const uncaught_exception_logger uncaught(events);
    const uncaught_exception_logger again(events);
    startNamedThread("watch", [] { throw std::length_error("too many"); }).join();
}

void throwOnOneThread()
{
    journal events({"edge-1"}, systemClock(), 8);
    const uncaught_exception_logger uncaught(events);
    startNamedThread("watch", [] { throw std::length_error("too many"); }).join();
}

/// Runs `run` in a child process, which an exception on a named thread must terminate.
/// @returns What the process wrote to its standard error.
std::string outputOfThrowingProcess(void (*run)())
{
    constexpr unsigned maxSeconds = 10;
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT(pipe(ends.data()) == 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        setUpLog("info", log_stream::Error);
        alarm(maxSeconds);
        run();
        _exit(0);
    }
    close(ends[1]);
    std::string text;
    std::array<char, 256> part{};
    for (ssize_t size = 0; (size = read(ends[0], part.data(), part.size())) > 0;)
        text.append(part.data(), static_cast<std::size_t>(size));
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    CPPUNIT_ASSERT(WIFSIGNALED(status));
    CPPUNIT_ASSERT_EQUAL(SIGABRT, WTERMSIG(status));
    return text;
}

} // namespace

class named_thread_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(named_thread_test);
    CPPUNIT_TEST(threadsHaveNames);
    CPPUNIT_TEST(uncaughtExceptionIsLoggedWithThreadAndReason);
    CPPUNIT_TEST(uncaughtExceptionIsLoggedWhileJournalIsLocked);
    CPPUNIT_TEST(twoLoggersTerminateTheProcessOnce);
    CPPUNIT_TEST(secondExceptionDoesNotTruncateLineOfFirst);
    CPPUNIT_TEST(throwingStepEndsNeitherThreadNorProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    void threadsHaveNames()
    {
        std::string seen;
        startNamedThread("watch", [&] { seen = threadName(); }).join();
        CPPUNIT_ASSERT_EQUAL(std::string("watch"), seen);
        CPPUNIT_ASSERT_EQUAL(std::string("unnamed"), std::string(threadName()));
    }

    void uncaughtExceptionIsLoggedWithThreadAndReason()
    {
        const std::string text = outputOfThrowingProcess(throwOnOneThread);
        CPPUNIT_ASSERT(text.find("event=uncaught_exception thread=watch type=std::length_error "
                                 "reason=\"too many\"")
                       != std::string::npos);
    }

    /// An exception is thrown while the journal's lock is held. The process deadlocked instead of
    /// terminating, so it was never restarted.
    void uncaughtExceptionIsLoggedWhileJournalIsLocked()
    {
        const std::string text = outputOfThrowingProcess(throwWhileJournalIsLocked);
        CPPUNIT_ASSERT_MESSAGE(text,
                               text.find("instance=edge-1 event=uncaught_exception thread=watch "
                                         "type=std::runtime_error reason=\"no time\"")
                                       != std::string::npos);
    }

    /// With two loggers in one process, the terminate handler called itself until the stack
    /// overflowed.
    void twoLoggersTerminateTheProcessOnce()
    {
        const std::string text = outputOfThrowingProcess(throwWithTwoLoggers);
        CPPUNIT_ASSERT(text.find("event=uncaught_exception thread=watch") != std::string::npos);
    }

    /// A second exception arrives while the line of the first is being written. If the second
    /// thread terminated the process immediately, the line would be lost.
    void secondExceptionDoesNotTruncateLineOfFirst()
    {
        const std::string text = outputOfThrowingProcess(throwOnTwoThreads);
        CPPUNIT_ASSERT_MESSAGE(text,
                               text.find("event=uncaught_exception thread=first type=")
                                       != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("reason=slow") != std::string::npos);
    }

    void throwingStepEndsNeitherThreadNorProcess()
    {
        metrics_registry metrics;
        journal events({"edge-1"}, systemClock(), 8);
        const step_failure_reporter faults = stepFailureReporterOf(events, metrics);
        std::vector<bool> outcomes;
        startNamedThread("watch", [&] {
            outcomes.push_back(
                    runLoggingExceptions(faults, [] { throw std::length_error("too many"); }));
            outcomes.push_back(runLoggingExceptions(faults, [] { throw 7; }));
            outcomes.push_back(runLoggingExceptions(faults, [] {}));
        }).join();
        CPPUNIT_ASSERT(outcomes == (std::vector<bool>{false, false, true}));
        const auto failed = events.events({"step_failed", {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, failed.size());
        CPPUNIT_ASSERT(failed.front().fields
                       == (std::vector<event_field>{{"thread", "watch"},
                                                    {"type", "std::length_error"},
                                                    {"reason", "too many"}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             metrics.counterOf("poplarspool_steps_failed_total").get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(named_thread_test);

} // namespace poplarspool
