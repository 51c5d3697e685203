#include "poplarspool/duties/fleet_clock.h"

#include "poplarspool/duties/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

/// An instance whose wall clock is ahead of true time by `ahead`.
struct test_instance
{
    mono_time mono{std::chrono::hours(3)};
    wall_time truth{milliseconds(1'700'000'000'000)};
    milliseconds ahead{0};
    fleet_clock time{{[this] { return mono; }, [this] { return truth + ahead; }}};

    void pass(milliseconds time)
    {
        mono += time;
        truth += time;
    }

    /// Delivers the clocks of other instances, each ahead of true time by the given time.
    void receive(const std::vector<milliseconds> &others)
    {
        std::uint64_t sender = 10;
        for (const milliseconds one : others)
            time.recordClock(++sender, truth + one);
    }

    milliseconds error() const { return time.now().at - truth; }
};

} // namespace

class fleet_clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_clock_test);
    CPPUNIT_TEST(singleInstanceUsesItsOwnClock);
    CPPUNIT_TEST(minorityOfWrongClocksHasNoEffect);
    CPPUNIT_TEST(jumpOfLocalClockHasNoEffect);
    CPPUNIT_TEST(delayedSamplesHaveNoEffect);
    CPPUNIT_TEST(estimateBasedOnMoreClocksIsUsed);
    CPPUNIT_TEST(receivedEstimatesAreNotSentOn);
    CPPUNIT_TEST(silentClocksExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    void singleInstanceUsesItsOwnClock()
    {
        test_instance test;
        test.pass(4s);
        CPPUNIT_ASSERT(test.error() == 0ms);
        CPPUNIT_ASSERT_EQUAL(1U, test.time.now().clocks);
    }

    void minorityOfWrongClocksHasNoEffect()
    {
        test_instance test;
        test.receive({2ms, -3ms, 2000ms, 2000ms, 1ms, -2000ms, 0ms});
        CPPUNIT_ASSERT(test.error() <= 2ms && test.error() >= -3ms);
        CPPUNIT_ASSERT_EQUAL(8U, test.time.now().clocks);
    }

    /// Guards against requests counted in the wrong window while the local clock is wrong.
    void jumpOfLocalClockHasNoEffect()
    {
        test_instance test;
        test.receive({2ms, -3ms, 1ms});
        test.ahead = 2000ms;
        test.pass(100ms);
        CPPUNIT_ASSERT(test.error() <= 2ms);
        test.receive({2ms, -3ms, 1ms});
        CPPUNIT_ASSERT(test.error() <= 2ms);
    }

    /// Guards against outdated times: after a suspension an instance reads the updates that were
    /// queued meanwhile.
    void delayedSamplesHaveNoEffect()
    {
        test_instance test;
        test.receive({0ms, 0ms, 0ms});
        test.pass(4s);
        test.receive({-4000ms, -4000ms, -4000ms});
        CPPUNIT_ASSERT(test.error() == 0ms);
    }

    void estimateBasedOnMoreClocksIsUsed()
    {
        test_instance test;
        test.ahead = 2000ms;
        test.receive({2000ms});
        test.time.recordEstimate(50, {test.truth + 1ms, 40});
        test.time.recordEstimate(51, {test.truth + 700ms, 3});
        CPPUNIT_ASSERT(test.error() == 1ms);
        CPPUNIT_ASSERT_EQUAL(40U, test.time.now().clocks);
    }

    /// If an instance sent on the estimates it receives, an estimate could return to its origin and
    /// outlast all clocks it is based on.
    void receivedEstimatesAreNotSentOn()
    {
        test_instance test;
        test.time.recordEstimate(50, {test.truth + 1ms, 40});
        CPPUNIT_ASSERT_EQUAL(1U, test.time.directEstimate().clocks);
        CPPUNIT_ASSERT(test.time.directEstimate().at == test.truth);
    }

    void silentClocksExpire()
    {
        test_instance test;
        test.receive({500ms, 500ms, 500ms});
        test.pass(config::clockRetention + 1s);
        test.receive({1ms});
        CPPUNIT_ASSERT_EQUAL(2U, test.time.now().clocks);
        CPPUNIT_ASSERT(test.error() <= 1ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_clock_test);

} // namespace poplarspool::duties
