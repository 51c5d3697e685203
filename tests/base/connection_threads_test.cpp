#include "base/connection_threads.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace poplarspool {

class connection_threads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_threads_test);
    CPPUNIT_TEST(throwingJobFreesItsThread);
    CPPUNIT_TEST_SUITE_END();

public:
    // The job throws in a pool of one thread. If the exception ended the thread without releasing
    // its slot, all later jobs would be rejected.
    void throwingJobFreesItsThread()
    {
        metrics_registry metrics;
        journal events({"edge-1"}, systemClock(), 8);
        connection_threads threads("calls", 1, stepFailureReporterOf(events, metrics));
        std::atomic<int> done{0};
        for (int wanted = 1; wanted <= 3; ++wanted) {
            const auto job = [&] {
                ++done;
                throw std::runtime_error("broken");
            };
            while (!threads.run(job))
                std::this_thread::yield();
            while (done < wanted)
                std::this_thread::yield();
        }
        threads.join();
        const auto failed = events.events({"step_failed", {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, failed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("calls"), failed.front().fields.front().value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_threads_test);

} // namespace poplarspool
