#include "adapter/gateway_fleet.h"
#include "adapter/limited_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::fake_store;
using test::gateway_fleet;
using test::limited_runner;

constexpr int instanceCount = 6;
/// A third or less of what the runner gets without a limit.
constexpr double perSecond = 4;
constexpr auto span = 4s;
/// Time after which a limit has to be kept.
constexpr auto settleTime = 3s;
/// Maximum number of requests that a runner with that limit may get within the span.
constexpr std::size_t maxArrivals = 1.5 * perSecond * span.count() + 5;

std::string routesSpec(const std::string &kind, const std::string &serviceTraits)
{
    return R"({"version":1,"services":[{"name":"s")" + serviceTraits
            + R"(}],"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":")" + kind
            + R"(","resumable":true,"service":"s","attempts":2,"timeoutMs":3000,)"
              R"("targetLatencyMs":1000}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

/// A prompt that no runner has cached, so that another engine prefills it first.
http_headers nextPrompt()
{
    static std::atomic<int> prompts{0};
    const std::string part = std::to_string(++prompts);
    return {{"X-Token-Count", "1000,20"}, {"X-Prompt-Prefix", part + "a:900," + part + "b:100"}};
}

/// Callers that send some 36 requests per second, evenly over the instances, until they are
/// destroyed.
class steady_load
{
public:
    explicit steady_load(gateway_fleet &fleet)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            threads.emplace_back([this, &fleet, i] {
                while (!isStopping) {
                    fleet.sendRequest(i, "x", nextPrompt());
                    std::this_thread::sleep_for(165ms);
                }
            });
        }
    }

    ~steady_load()
    {
        isStopping = true;
        for (std::thread &each : threads)
            each.join();
    }

private:
    std::atomic<bool> isStopping{false};
    std::vector<std::thread> threads;
};

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
        store.put(wire::configKind, wire::configName, routesSpec("idempotent", ""));
        limited_runner limited(store, "i-0");
        limited_runner other(store, "i-1");
        gateway_fleet fleet(store, instanceCount, 26000, {"a", "b"});
        assertLimitIsKept(fleet, limited);
    }

    void allInstancesTogetherKeepALimitOfADecodeEngine()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, engineRoutes());
        limited_runner reading(store, "i-0", wire::stagePrefill);
        limited_runner limited(store, "i-1", wire::stageDecode);
        limited_runner other(store, "i-2", wire::stageDecode);
        gateway_fleet fleet(store, instanceCount, 26100, {"a", "b"});
        assertLimitIsKept(fleet, limited);
    }

    void allInstancesTogetherKeepALimitOfAPrefillEngine()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, engineRoutes());
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
        store.put(wire::configKind, wire::configName, engineRoutes());
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

private:
    static std::string engineRoutes()
    {
        return routesSpec("streaming",
                          R"(,"engine":{"slots":64,"kvCapacity":800000,)"
                          R"("kvTokenBytes":18432,"linkMbps":100000})");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_runners_test);

} // namespace poplarspool::adapter
