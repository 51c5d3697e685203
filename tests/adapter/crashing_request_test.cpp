#include "adapter/crashing_runners.h"
#include "adapter/gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using test::crashing_runner;
using test::crashing_runners;
using test::fake_store;
using test::gateway_fleet;
using test::waitUntil;

const std::string crashingBody(crashing_runner::crashMarker);
const std::string harmlessBody = "harmless";

/// One route whose requests may be retried.
std::string routesSpec()
{
    return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
           R"("pathPrefix":"/p/","kind":"idempotent","service":"s","attempts":2,)"
           R"("timeoutMs":3000,"targetLatencyMs":1000}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

/// @returns Whether each instance answers `refused` with 503 and `served` with 200.
bool allRefuse(gateway_fleet &instances, const std::string &refused, const std::string &served)
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances.sendRequest(i, refused) != 503 || instances.sendRequest(i, served) != 200)
            return false;
    }
    return true;
}

} // namespace

class crashing_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_request_test);
    CPPUNIT_TEST(requestThatCrashesRunnersIsQuarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that, repeated at any instance, crashes one runner after another.
    void requestThatCrashesRunnersIsQuarantined()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, routesSpec());
        crashing_runners runners(store, 4);
        gateway_fleet instances(store, 3, 24000);
        instances.waitUntilAllServe(harmlessBody);
        std::size_t nextInstance = 0;
        const bool isQuarantined = waitUntil([&] {
            instances.sendRequest(nextInstance++ % instances.size(), crashingBody);
            runners.replaceCrashed();
            return runners.crashedCount() >= 3 && allRefuse(instances, crashingBody, harmlessBody);
        });
        CPPUNIT_ASSERT_MESSAGE("runners crashed: " + std::to_string(runners.crashedCount()),
                               isQuarantined);
        // Three crashes start the quarantine. The other instances may send the request until they
        // receive the crash update.
        CPPUNIT_ASSERT(runners.crashedCount() <= 6);
        const int sentBefore = runners.crashRequests();
        instances.startOne();
        instances.waitUntilAllServe(harmlessBody);
        for (std::size_t i = 0; i < 3 * instances.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(503, instances.sendRequest(i % instances.size(), crashingBody));
        CPPUNIT_ASSERT_EQUAL(sentBefore, runners.crashRequests());
        CPPUNIT_ASSERT(allRefuse(instances, crashingBody, harmlessBody));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_request_test);

} // namespace poplarspool::adapter
