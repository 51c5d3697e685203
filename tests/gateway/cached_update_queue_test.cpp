#include "gateway/cached_update_queue.h"

#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

class cached_update_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cached_update_queue_test);
    CPPUNIT_TEST(updatesAreSentRepeatedly);
    CPPUNIT_TEST(waitingUpdateIsNotQueuedAgain);
    CPPUNIT_TEST(prefilledReplacesNotPrefilled);
    CPPUNIT_TEST(oldestAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void updatesAreSentRepeatedly()
    {
        cached_update_queue queue;
        queue.add({1, 2, true});
        for (std::uint32_t i = 0; i < config::updateRepeats; ++i)
            CPPUNIT_ASSERT((queue.take(5) == std::vector<peer::cached_prefix>{{1, 2, true}}));
        CPPUNIT_ASSERT(queue.isEmpty());
    }

    /// Guards against repeats that displace what other instances don't know yet: they then copy
    /// parts from elsewhere or have them prefilled again.
    void waitingUpdateIsNotQueuedAgain()
    {
        cached_update_queue queue;
        for (std::uint32_t i = 0; i < 10 * config::maxPendingUpdates; ++i)
            queue.add({1, i % 100, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, queue.size());
    }

    void prefilledReplacesNotPrefilled()
    {
        cached_update_queue queue;
        queue.add({1, 2, false});
        queue.add({1, 2, true});
        queue.add({1, 2, false});
        CPPUNIT_ASSERT((queue.take(5) == std::vector<peer::cached_prefix>{{1, 2, true}}));
    }

    void oldestAreDropped()
    {
        cached_update_queue queue;
        for (std::uint32_t i = 0; i <= config::maxPendingUpdates; ++i)
            queue.add({i, 0, false});
        CPPUNIT_ASSERT_EQUAL(config::maxPendingUpdates, queue.size());
        CPPUNIT_ASSERT_EQUAL(1U, queue.take(1).front().runner);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cached_update_queue_test);

} // namespace poplarspool::gateway
