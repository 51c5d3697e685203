#include "poplarspool/base/named_thread.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool {

namespace {

/// Ends by an exception on a named thread.
/// @returns What it wrote of it to its standard error.
std::string linesOfAThrowingProcess()
{
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT(pipe(ends.data()) == 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        setUpLog("info", log_stream::Error);
        journal events({"edge-1"}, systemClock(), 8);
        const uncaught_log uncaught(events);
        startNamed("watch", [] { throw std::length_error("too many"); }).join();
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
    CPPUNIT_TEST(threadsKnowTheirNames);
    CPPUNIT_TEST(anEndByAnExceptionNamesThreadAndReason);
    CPPUNIT_TEST(aStepThatThrowsEndsNeitherThreadNorProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    void threadsKnowTheirNames()
    {
        std::string seen;
        startNamed("watch", [&] { seen = threadName(); }).join();
        CPPUNIT_ASSERT_EQUAL(std::string("watch"), seen);
        CPPUNIT_ASSERT_EQUAL(std::string("unnamed"), std::string(threadName()));
    }

    void anEndByAnExceptionNamesThreadAndReason()
    {
        const std::string text = linesOfAThrowingProcess();
        CPPUNIT_ASSERT(text.find("event=uncaught_exception thread=watch type=std::length_error "
                                 "reason=\"too many\"")
                       != std::string::npos);
    }

    void aStepThatThrowsEndsNeitherThreadNorProcess()
    {
        metrics_registry metrics;
        journal events({"edge-1"}, systemClock(), 8);
        const step_faults faults = stepFaultsOf(events, metrics);
        std::vector<bool> outcomes;
        startNamed("watch", [&] {
            outcomes.push_back(contained(faults, [] { throw std::length_error("too many"); }));
            outcomes.push_back(contained(faults, [] { throw 7; }));
            outcomes.push_back(contained(faults, [] {}));
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
