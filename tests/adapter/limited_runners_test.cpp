#include "adapter/gateway_fleet.h"
#include "adapter/limited_runner.h"
#include "adapter/steady_load.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::fake_store;
using test::gateway_fleet;
using test::limited_runner;
using test::nextPrompt;
using test::routesSpec;
using test::steady_load;

constexpr int instanceCount = 6;
/// A third or less of what the runner gets without a limit.
constexpr double perSecond = 4;
constexpr auto span = 4s;
/// Time after which a limit has to be kept.
constexpr auto settleTime = 3s;
/// Maximum number of requests that a runner with that limit may get within the span.
constexpr std::size_t maxArrivals = 1.5 * perSecond * span.count() + 5;

void assertLimitIsKept(gateway_fleet &fleet, limited_runner &limited)
{
    fleet.waitUntilAllServe("x", nextPrompt());
    const steady_load load(fleet);
    std::this_thread::sleep_for(2s);
    limited.setLimit("4.0");
    std::this_thread::sleep_for(settleTime + span);
    const std::size_t most = limited.busiest(span, settleTime);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s, allowed "
                                   + std::to_string(maxArrivals),
                           most <= maxArrivals);
}

} // namespace

class limited_runners_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limited_runners_test);
    CPPUNIT_TEST(allInstancesTogetherKeepALimitOfAService);
    CPPUNIT_TEST(allInstancesTogetherKeepALimitOfADecodeEngine);
    CPPUNIT_TEST(allInstancesTogetherKeepALimitOfAPrefillEngine);
    CPPUNIT_TEST(promptGoesToAnotherEngineIfOneRefusesIt);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests beyond the limit that a runner names to all instances together.
    void allInstancesTogetherKeepALimitOfAService()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, routesSpec("idempotent", false));
        limited_runner limited(store, "i-0");
        limited_runner other(store, "i-1");
        gateway_fleet fleet(store, instanceCount, 26000, {"a", "b"});
        assertLimitIsKept(fleet, limited);
    }

    void allInstancesTogetherKeepALimitOfADecodeEngine()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, routesSpec("streaming", true));
        limited_runner reading(store, "i-0", wire::stagePrefill);
        limited_runner limited(store, "i-1", wire::stageDecode);
        limited_runner other(store, "i-2", wire::stageDecode);
        gateway_fleet fleet(store, instanceCount, 26100, {"a", "b"});
        assertLimitIsKept(fleet, limited);
    }

    void allInstancesTogetherKeepALimitOfAPrefillEngine()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, routesSpec("streaming", true));
        limited_runner limited(store, "i-0", wire::stagePrefill);
        limited_runner other(store, "i-1", wire::stagePrefill);
        limited_runner running(store, "i-2", wire::stageDecode);
        gateway_fleet fleet(store, instanceCount, 26200, {"a", "b"});
        assertLimitIsKept(fleet, limited);
    }

    /// Guards against prompts that the engines of the other stage have to prefill, slowly, because
    /// one engine refuses.
    void promptGoesToAnotherEngineIfOneRefusesIt()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, routesSpec("streaming", true));
        limited_runner refusing(store, "i-0", wire::stagePrefill);
        limited_runner other(store, "i-1", wire::stagePrefill);
        limited_runner running(store, "i-2", wire::stageDecode);
        refusing.refuseAll();
        gateway_fleet fleet(store, 1, 26300);
        fleet.waitUntilAllServe("x", nextPrompt());
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT_EQUAL(200, fleet.sendRequest(0, "x", nextPrompt()));
        CPPUNIT_ASSERT(refusing.arrivalCount() > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running.unpreparedCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_runners_test);

} // namespace poplarspool::adapter
