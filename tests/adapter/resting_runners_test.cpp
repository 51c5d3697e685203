#include "adapter/withdrawing_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iterator>
#include <thread>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::steady_load;
using test::waitUntil;
using test::withdrawing_fleet;
using test::withdrawing_runner;

constexpr auto rest = 6s;
constexpr char restText[] = "6";
/// Longer than the callers of an instance pause: no request in it shows that all instances have
/// been asked for rest.
constexpr auto quietTime = 400ms;
/// Time in which nothing may arrive after that; within the rest.
constexpr auto checkedTime = 2s;

/// Runners that ask for rest, and callers of all instances.
struct resting_fleet : withdrawing_fleet
{
    resting_fleet(std::uint16_t firstPort, const std::string &kind,
                  const std::vector<std::string> &stages)
        : withdrawing_fleet(firstPort, kind, stages)
    {
        load = std::make_unique<steady_load>(*instances);
        std::this_thread::sleep_for(1s);
    }

    /// Requests at all runners within that time after the last refuse() or mark().
    std::size_t arrivalsWithin(std::chrono::milliseconds time) const
    {
        std::size_t count = 0;
        for (const withdrawing_runner &each : runners)
            count += each.arrivalsBetween(-1ms, time);
        return count;
    }

    void markAll()
    {
        for (withdrawing_runner &each : runners)
            each.mark();
    }

    /// @param first The first of the runners that ask for rest.
    void refuseAll(std::ptrdiff_t first = 0)
    {
        for (auto each = std::next(runners.begin(), first); each != runners.end(); ++each)
            each->refuse(restText);
    }

    void waitUntilAllAreAskedForRest()
    {
        CPPUNIT_ASSERT(waitUntil([this] {
            markAll();
            std::this_thread::sleep_for(quietTime);
            return arrivalsWithin(quietTime) == 0;
        }));
        markAll();
    }

    void assertNoneWhileResting() const
    {
        std::this_thread::sleep_for(checkedTime);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("requests while all runners rest", std::size_t{0},
                                     arrivalsWithin(checkedTime));
    }

    /// The runners have room again.
    void assertUsedAgain()
    {
        for (withdrawing_runner &each : runners)
            each.accept();
        const int before = load->servedCount();
        CPPUNIT_ASSERT(waitUntil([&] { return load->servedCount() > before; }));
    }

    std::unique_ptr<steady_load> load;
};

} // namespace

class resting_runners_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resting_runners_test);
    CPPUNIT_TEST(restingServiceGetsNoRequests);
    CPPUNIT_TEST(nothingIsReadForEnginesThatRest);
    CPPUNIT_TEST(restOutlastsALapseOfTheEntry);
    CPPUNIT_TEST(restingRunnerIsTriedOnceByEachInstanceAtItsEnd);
    CPPUNIT_TEST(fullRunnersThatAskForNoRestAreTriedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests to a runner that has asked for rest, where no other is left.
    void restingServiceGetsNoRequests()
    {
        resting_fleet fleet(22000, "idempotent", {"", ""});
        fleet.refuseAll();
        fleet.waitUntilAllAreAskedForRest();
        fleet.assertNoneWhileResting();
        fleet.assertUsedAgain();
    }

    /// Guards against prompts that are prefilled although all engines that could go on rest.
    void nothingIsReadForEnginesThatRest()
    {
        resting_fleet fleet(22100, "streaming",
                            {wire::stagePrefill, wire::stageDecode, wire::stageDecode});
        fleet.refuseAll(1);
        fleet.waitUntilAllAreAskedForRest();
        fleet.assertNoneWhileResting();
        fleet.assertUsedAgain();
    }

    /// Guards against a rest that is forgotten with the runner's entry.
    void restOutlastsALapseOfTheEntry()
    {
        resting_fleet fleet(22200, "idempotent", {"", ""});
        fleet.refuseAll();
        fleet.waitUntilAllAreAskedForRest();
        for (withdrawing_runner &each : fleet.runners)
            each.unlist();
        std::this_thread::sleep_for(quietTime);
        for (withdrawing_runner &each : fleet.runners)
            each.list();
        fleet.assertNoneWhileResting();
    }

    /// Guards against the requests of all instances at once at the end of a rest.
    void restingRunnerIsTriedOnceByEachInstanceAtItsEnd()
    {
        resting_fleet fleet(22300, "idempotent", {"", ""});
        fleet.refuseAll();
        fleet.waitUntilAllAreAskedForRest();
        // Less than two rests: by then, each instance has been asked for rest twice.
        std::this_thread::sleep_for(rest);
        const std::size_t tries = fleet.arrivalsWithin(rest);
        CPPUNIT_ASSERT(tries > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(tries) + " requests at runners that refuse again",
                               tries <= fleet.runners.size() * resting_fleet::instanceCount);
    }

    /// Guards against a rest for runners that have asked for none.
    void fullRunnersThatAskForNoRestAreTriedAgain()
    {
        resting_fleet fleet(22400, "idempotent", {"", ""});
        for (withdrawing_runner &each : fleet.runners)
            each.refuse("");
        CPPUNIT_ASSERT(waitUntil([&] {
            fleet.markAll();
            std::this_thread::sleep_for(quietTime);
            return fleet.arrivalsWithin(quietTime) > 0;
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resting_runners_test);

} // namespace poplarspool::adapter
