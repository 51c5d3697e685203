#include "adapter/ending_runners.h"
#include "adapter/following_instance.h"
#include "platform/adapter.h"
#include "poplarspool/base/http.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::ending_runner;
using test::ending_runners;
using test::small_store;
using test::waitUntil;

const std::string guilty(ending_runner::mark);
const std::string innocent = "harmless";

/// One route that may be repeated.
std::string routesSpec()
{
    return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
           R"("pathPrefix":"/p/","kind":"idempotent","service":"s","attempts":2,)"
           R"("timeoutMs":3000,"targetLatencyMs":1000}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

/// Whole instances at free ports of loopback.
class fleet
{
public:
    fleet(small_store &store, int count) : store(store)
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
            gateway::gateway_settings choices = settingsAt(port);
            port = static_cast<std::uint16_t>(port + 10);
            auto made = std::make_unique<platform_gateway>(choices);
            if (succeeded(made->start())) {
                instances.push_back(std::move(made));
                callers.push_back(choices.callerAddress);
                return;
            }
        }
        CPPUNIT_FAIL("no free ports");
    }

    void waitUntilReady()
    {
        for (std::size_t i = 0; i < callers.size(); ++i)
            CPPUNIT_ASSERT(waitUntil([&] { return ask(i, innocent) == 200; }));
    }

    std::size_t size() const { return callers.size(); }

    /// @returns The status; 0: none.
    int ask(std::size_t instance, const std::string &body)
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

    /// @returns Whether each instance refuses the one and serves the other.
    bool allRefuse(const std::string &refused, const std::string &served)
    {
        for (std::size_t i = 0; i < size(); ++i) {
            if (ask(i, refused) != 503 || ask(i, served) != 200)
                return false;
        }
        return true;
    }

private:
    gateway::gateway_settings settingsAt(std::uint16_t first) const
    {
        gateway::gateway_settings made;
        made.instance.text = "edge-" + std::to_string(first);
        made.zone.text = "a";
        made.storeAddress = store.at();
        std::uint16_t next = first;
        for (endpoint *each : {&made.callerAddress, &made.readinessAddress, &made.directoryAddress,
                               &made.loadAddress, &made.metricsAddress, &made.peerAddress})
            *each = {"127.0.0.1", next++};
        made.leaveSeconds = 1;
        return made;
    }

    small_store &store;
    metrics_registry metrics;
    http_pool pool{4, 500ms, metrics, 5s};
    std::vector<std::unique_ptr<platform_gateway>> instances;
    std::vector<endpoint> callers;
    std::uint16_t port = 24000;
    int attempts = 0;
};

} // namespace

class ending_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ending_request_test);
    CPPUNIT_TEST(aRequestThatEndsRunnersIsSentNoMore);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The same request, at any instance, ended runner after runner for as long as it came again.
    void aRequestThatEndsRunnersIsSentNoMore()
    {
        small_store store;
        store.put(wire::configKind, wire::configName, routesSpec());
        ending_runners runners(store, 4);
        fleet instances(store, 3);
        std::size_t turn = 0;
        const bool isRefused = waitUntil([&] {
            instances.ask(turn++ % instances.size(), guilty);
            runners.startEndedAgain();
            return runners.ended() >= 3 && instances.allRefuse(guilty, innocent);
        });
        CPPUNIT_ASSERT_MESSAGE("ended " + std::to_string(runners.ended()), isRefused);
        // Three, and those that the other instances sent before they knew.
        CPPUNIT_ASSERT(runners.ended() <= 6);
        const int reached = runners.markedRequests();
        instances.startOne();
        instances.waitUntilReady();
        for (std::size_t i = 0; i < 3 * instances.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(503, instances.ask(i % instances.size(), guilty));
        CPPUNIT_ASSERT_EQUAL(reached, runners.markedRequests());
        CPPUNIT_ASSERT(instances.allRefuse(guilty, innocent));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ending_request_test);

} // namespace poplarspool::adapter
