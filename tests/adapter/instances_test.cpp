#include "adapter/fake_store.h"
#include "adapter/follower_fixture.h"
#include "platform/adapter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;

endpoint local(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

/// The name is invalid UTF-8, which JSON rejects: the instance cannot register in the store.
/// @param port The first of its ports.
gateway::gateway_settings settingsWithInvalidName(const endpoint &store, std::uint16_t port)
{
    gateway::gateway_settings settings;
    settings.instance.text = "edge-\xff";
    settings.callerAddress = local(port);
    settings.readinessAddress = local(port + 1);
    settings.directoryAddress = local(port + 2);
    settings.peerAddress = local(port + 3);
    settings.loadAddress = local(port + 4);
    settings.metricsAddress = local(port + 5);
    settings.storeAddress = store;
    settings.addressKeepTime = 0s;
    settings.leaveSeconds = 0.3;
    return settings;
}

/// @returns The value of the metric as text, or an empty one.
std::string valueAt(const endpoint &metricsAddress, const std::string &name)
{
    metrics_registry unused;
    http_pool pool(1, 1s, unused);
    http_request request;
    request.path = "/metrics";
    const auto reply = pool.send(metricsAddress, request, 1s);
    const std::string text = succeeded(reply) ? valueOf(reply).body : "";
    const std::size_t at = text.find("\n" + name + " ");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 2;
    return text.substr(begin, text.find('\n', begin) - begin);
}

} // namespace

class instances_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instances_test);
    CPPUNIT_TEST(throwingStepIsRetried);
    CPPUNIT_TEST_SUITE_END();

public:
    void throwingStepIsRetried()
    {
        test::fake_store store;
        gateway::gateway_settings settings;
        std::unique_ptr<platform_gateway> instance;
        bool isStarted = false;
        // Skips busy ports.
        for (std::uint16_t port = 23100; port < 23400 && !isStarted; port += 6) {
            settings = settingsWithInvalidName(store.address(), port);
            instance = std::make_unique<platform_gateway>(settings);
            isStarted = succeeded(instance->start());
        }
        CPPUNIT_ASSERT(isStarted);
        CPPUNIT_ASSERT(test::waitUntil([&] {
            const std::string failed =
                    valueAt(settings.metricsAddress, "poplarspool_steps_failed_total");
            return !failed.empty() && std::stoi(failed) >= 3;
        }));
        instance->leave();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instances_test);

} // namespace poplarspool::adapter
