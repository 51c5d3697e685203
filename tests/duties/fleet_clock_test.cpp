#include "poplarspool/duties/fleet_clock.h"

#include "poplarspool/duties/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

/// An instance whose time of day is some time ahead of true time.
struct world
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

    /// Others tell their clocks, each so far ahead of true time.
    void tell(const std::vector<milliseconds> &others)
    {
        std::uint64_t sender = 10;
        for (const milliseconds one : others)
            time.noteClock(++sender, truth + one);
    }

    milliseconds fault() const { return time.now().at - truth; }
};

} // namespace

class fleet_clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_clock_test);
    CPPUNIT_TEST(aloneItIsTheOwnClock);
    CPPUNIT_TEST(aMinorityOfWrongClocksChangesNothing);
    CPPUNIT_TEST(aJumpOfTheOwnClockChangesNothing);
    CPPUNIT_TEST(whatWasHeldUpCountsNothing);
    CPPUNIT_TEST(whoHearsFewTakesTheEstimateOfWhoHearsMany);
    CPPUNIT_TEST(estimatesOfOthersAreNotToldOn);
    CPPUNIT_TEST(silentClocksAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void aloneItIsTheOwnClock()
    {
        world test;
        test.pass(4s);
        CPPUNIT_ASSERT(test.fault() == 0ms);
        CPPUNIT_ASSERT_EQUAL(1U, test.time.now().clocks);
    }

    void aMinorityOfWrongClocksChangesNothing()
    {
        world test;
        test.tell({2ms, -3ms, 2000ms, 2000ms, 1ms, -2000ms, 0ms});
        CPPUNIT_ASSERT(test.fault() <= 2ms && test.fault() >= -3ms);
        CPPUNIT_ASSERT_EQUAL(8U, test.time.now().clocks);
    }

    /// Guards against requests that are counted into another window for as long as a jump lasts.
    void aJumpOfTheOwnClockChangesNothing()
    {
        world test;
        test.tell({2ms, -3ms, 1ms});
        test.ahead = 2000ms;
        test.pass(100ms);
        CPPUNIT_ASSERT(test.fault() <= 2ms);
        test.tell({2ms, -3ms, 1ms});
        CPPUNIT_ASSERT(test.fault() <= 2ms);
    }

    /// An instance that was suspended reads what has waited for it: news of a time long gone.
    void whatWasHeldUpCountsNothing()
    {
        world test;
        test.tell({0ms, 0ms, 0ms});
        test.pass(4s);
        test.tell({-4000ms, -4000ms, -4000ms});
        CPPUNIT_ASSERT(test.fault() == 0ms);
    }

    void whoHearsFewTakesTheEstimateOfWhoHearsMany()
    {
        world test;
        test.ahead = 2000ms;
        test.tell({2000ms});
        test.time.noteEstimate(50, {test.truth + 1ms, 40});
        test.time.noteEstimate(51, {test.truth + 700ms, 3});
        CPPUNIT_ASSERT(test.fault() == 1ms);
        CPPUNIT_ASSERT_EQUAL(40U, test.time.now().clocks);
    }

    /// Told on, an estimate would come back as another's, and outlast all clocks that it rests on.
    void estimatesOfOthersAreNotToldOn()
    {
        world test;
        test.time.noteEstimate(50, {test.truth + 1ms, 40});
        CPPUNIT_ASSERT_EQUAL(1U, test.time.heard().clocks);
        CPPUNIT_ASSERT(test.time.heard().at == test.truth);
    }

    void silentClocksAreForgotten()
    {
        world test;
        test.tell({500ms, 500ms, 500ms});
        test.pass(config::clockMemory + 1s);
        test.tell({1ms});
        CPPUNIT_ASSERT_EQUAL(2U, test.time.now().clocks);
        CPPUNIT_ASSERT(test.fault() <= 1ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_clock_test);

} // namespace poplarspool::duties
