#include "adapter/scripted_store.h"
#include "platform/adapter.h"
#include "platform/limits.h"
#include "platform/names.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::jsonReply;

/// Max delay until store changes take effect after the instance's access to the store has
/// recovered; the default of its settings.
constexpr milliseconds maxRecoveryDelay = 3s;

/// A store that accepts watches of one kind and never answers them. It answers all other calls.
class hanging_store
{
public:
    explicit hanging_store(const std::string &kind)
        : watchedPath(wire::objectsPath + kind),
          server(
                  "store", {"127.0.0.1", 0}, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &) { return answer(request); },
                  metrics),
          listenAddress(valueOf(server.start()))
    { }

    ~hanging_store()
    {
        {
            const std::lock_guard lock(guard);
            isStopping = true;
        }
        changed.notify_all();
        server.stop();
    }

    endpoint address() const { return listenAddress; }

    /// @returns The wait time that the instance requested for its first watch of that kind.
    milliseconds awaitWatchTime()
    {
        std::unique_lock lock(guard);
        CPPUNIT_ASSERT(changed.wait_for(lock, 20s, [this] { return watchTime.has_value(); }));
        return *watchTime;
    }

private:
    std::optional<http_reply> answer(const http_request &request)
    {
        const std::string waitKey = std::string(wire::watchTimeMs) + "=";
        const std::size_t wait = request.path.find(waitKey);
        if (!request.path.starts_with(watchedPath) || wait == std::string::npos)
            return jsonReply(R"({"items":[],"events":[],"truncated":false,"currentRev":5})");
        std::unique_lock lock(guard);
        watchTime = milliseconds(std::stol(request.path.substr(wait + waitKey.size())));
        changed.notify_all();
        changed.wait(lock, [this] { return isStopping; });
        return http_reply{503, {}, {}, {}};
    }

    const std::string watchedPath;
    metrics_registry metrics;
    std::mutex guard;
    std::condition_variable changed;
    std::optional<milliseconds> watchTime;
    bool isStopping = false;
    http_server server;
    const endpoint listenAddress;
};

gateway::gateway_settings settingsFor(const hanging_store &store)
{
    const endpoint any{"127.0.0.1", 0};
    gateway::gateway_settings settings;
    settings.instance.text = "edge-1";
    settings.zone.text = "a";
    settings.callerAddress = any;
    settings.readinessAddress = any;
    settings.directoryAddress = any;
    settings.peerAddress = any;
    settings.loadAddress = any;
    settings.metricsAddress = any;
    settings.storeAddress = store.address();
    settings.leaveSeconds = 1;
    return settings;
}

} // namespace

class unanswered_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unanswered_watch_test);
    CPPUNIT_TEST(unansweredRunnerWatchIsReplacedInTime);
    CPPUNIT_TEST(unansweredRouteWatchIsReplacedInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers sent to a runner whose entry in the store says that it is draining,
    /// and cut off when it ends. After a short stall the store accepts the instance's watch and
    /// never answers it, but answers all other calls and accepts the runner's entry. The instance
    /// takes the silence for "no change" and keeps its old list.
    ///
    /// In the observed failure, requests were sent 2 ms after their runner was chosen from a list
    /// last confirmed 9.4 s before, at a revision long passed. No entry had changed back from
    /// draining, and the watch that failed afterwards had been open for 11.0 s.
    void unansweredRunnerWatchIsReplacedInTime() { assertReplacedInTime(wire::runnerKind); }

    /// Guards against the same failure of the route watch: callers of a new route got 503, and
    /// requests of a changed route went to its previous service.
    void unansweredRouteWatchIsReplacedInTime() { assertReplacedInTime(wire::configKind); }

private:
    static void assertReplacedInTime(const std::string &kind)
    {
        hanging_store store(kind);
        platform_gateway instance(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const milliseconds requestedWait = store.awaitWatchTime();
        instance.leave();
        // After its time-out follow a pause and a short watch, which is answered at once.
        const milliseconds replacedAfter = requestedWait + config::storeReadTimeout
                + 2 * config::initialGatewayStorePause + config::storeProbeWatchTime;
        CPPUNIT_ASSERT_MESSAGE("unanswered watch replaced after "
                                       + std::to_string(replacedAfter.count()) + " ms",
                               replacedAfter < maxRecoveryDelay);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unanswered_watch_test);

} // namespace poplarspool::adapter
