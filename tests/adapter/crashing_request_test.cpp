#include "adapter/crashing_runners.h"
#include "adapter/follower_fixture.h"
#include "platform/adapter.h"
#include "poplarspool/base/http.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::crashing_runner;
using test::crashing_runners;
using test::fake_store;
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

/// Complete instances on free loopback ports.
class fleet
{
public:
    fleet(fake_store &store, int count) : store(store)
    {
        for (int i = 0; i < count; ++i)
            startOne();
        waitUntilReady();
    }

    ~fleet()
    {
        for (const auto &one : instances)
            one->leave();
    }

    void startOne()
    {
        while (port < 30000) {
            gateway::gateway_settings settings = settingsAt(port);
            port = static_cast<std::uint16_t>(port + 10);
            auto instance = std::make_unique<platform_gateway>(settings);
            if (succeeded(instance->start())) {
                instances.push_back(std::move(instance));
                callers.push_back(settings.callerAddress);
                return;
            }
        }
        CPPUNIT_FAIL("no free ports");
    }

    void waitUntilReady()
    {
        for (std::size_t i = 0; i < callers.size(); ++i)
            CPPUNIT_ASSERT(waitUntil([&] { return sendRequest(i, harmlessBody) == 200; }));
    }

    std::size_t size() const { return callers.size(); }

    /// @returns The HTTP status, or 0 without a reply.
    int sendRequest(std::size_t instance, const std::string &body)
    {
        http_request request;
        request.method = "POST";
        request.path = "/p/1";
        request.headers = {{"Host", "h"},
                           {"X-Attempt-Id", "a" + std::to_string(++attempts)},
                           {"X-Deadline-Ms", "2000"}};
        request.body = body;
        request.contentType = "text/plain";
        const auto reply = pool.send(callers[instance], request, 3s);
        return succeeded(reply) ? valueOf(reply).status : 0;
    }

    /// @returns Whether each instance answers `refused` with 503 and `served` with 200.
    bool allRefuse(const std::string &refused, const std::string &served)
    {
        for (std::size_t i = 0; i < size(); ++i) {
            if (sendRequest(i, refused) != 503 || sendRequest(i, served) != 200)
                return false;
        }
        return true;
    }

private:
    gateway::gateway_settings settingsAt(std::uint16_t first) const
    {
        gateway::gateway_settings settings;
        settings.instance.text = "edge-" + std::to_string(first);
        settings.zone.text = "a";
        settings.storeAddress = store.address();
        std::uint16_t next = first;
        for (endpoint *each :
             {&settings.callerAddress, &settings.readinessAddress, &settings.directoryAddress,
              &settings.loadAddress, &settings.metricsAddress, &settings.peerAddress})
            *each = {"127.0.0.1", next++};
        settings.leaveSeconds = 1;
        return settings;
    }

    fake_store &store;
    metrics_registry metrics;
    http_pool pool{4, 500ms, metrics, 5s};
    std::vector<std::unique_ptr<platform_gateway>> instances;
    std::vector<endpoint> callers;
    std::uint16_t port = 24000;
    int attempts = 0;
};

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
        fleet instances(store, 3);
        std::size_t nextInstance = 0;
        const bool isQuarantined = waitUntil([&] {
            instances.sendRequest(nextInstance++ % instances.size(), crashingBody);
            runners.replaceCrashed();
            return runners.crashedCount() >= 3 && instances.allRefuse(crashingBody, harmlessBody);
        });
        CPPUNIT_ASSERT_MESSAGE("runners crashed: " + std::to_string(runners.crashedCount()),
                               isQuarantined);
        // Three crashes start the quarantine. The other instances may send the request until they
        // receive the crash update.
        CPPUNIT_ASSERT(runners.crashedCount() <= 6);
        const int sentBefore = runners.crashRequests();
        instances.startOne();
        instances.waitUntilReady();
        for (std::size_t i = 0; i < 3 * instances.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(503, instances.sendRequest(i % instances.size(), crashingBody));
        CPPUNIT_ASSERT_EQUAL(sentBefore, runners.crashRequests());
        CPPUNIT_ASSERT(instances.allRefuse(crashingBody, harmlessBody));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_request_test);

} // namespace poplarspool::adapter
