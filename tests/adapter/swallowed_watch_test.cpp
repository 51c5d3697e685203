#include "adapter/scripted_store.h"
#include "platform/adapter.h"
#include "platform/names.h"
#include "poplarspool/gateway/limits.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::jsonReply;

/// After a trouble of the instance itself, its news may be late for so long. The default of its
/// settings.
constexpr milliseconds settleTime = 3s;

/// A store that answers every call but watches of one kind: those it takes and never answers.
class swallowing_store
{
public:
    explicit swallowing_store(const std::string &kind)
        : watched(wire::objectsPath + kind),
          server(
                  "store", {"127.0.0.1", 0}, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &) { return answer(request); },
                  metrics),
          address(valueOf(server.start()))
    { }

    ~swallowing_store()
    {
        {
            const std::lock_guard lock(guard);
            isEnding = true;
        }
        changed.notify_all();
        server.stop();
    }

    endpoint at() const { return address; }

    /// @returns For how long the first watch of that kind may wait, as the instance asked it.
    milliseconds awaitWatch()
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
        if (!request.path.starts_with(watched) || wait == std::string::npos)
            return jsonReply(R"({"items":[],"events":[],"truncated":false,"currentRev":5})");
        std::unique_lock lock(guard);
        watchTime = milliseconds(std::stol(request.path.substr(wait + waitKey.size())));
        changed.notify_all();
        changed.wait(lock, [this] { return isEnding; });
        return http_reply{503, {}, {}, {}};
    }

    const std::string watched;
    metrics_registry metrics;
    std::mutex guard;
    std::condition_variable changed;
    std::optional<milliseconds> watchTime;
    bool isEnding = false;
    http_server server;
    const endpoint address;
};

gateway::gateway_settings settingsFor(const swallowing_store &store)
{
    const endpoint any{"127.0.0.1", 0};
    gateway::gateway_settings choices;
    choices.instance.text = "edge-1";
    choices.zone.text = "a";
    choices.callerAddress = any;
    choices.readinessAddress = any;
    choices.directoryAddress = any;
    choices.peerAddress = any;
    choices.loadAddress = any;
    choices.metricsAddress = any;
    choices.storeAddress = store.at();
    choices.leaveSeconds = 1;
    return choices;
}

} // namespace

class swallowed_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(swallowed_watch_test);
    CPPUNIT_TEST(aSwallowedWatchOfRunnersEndsInTime);
    CPPUNIT_TEST(aSwallowedWatchOfRoutesEndsInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Callers were sent to a runner that had said in the store that it leaves, and were cut off
    /// when it ended. Before, the store had been silent for a moment: it took the instance's watch
    /// and never answered it. From then on it answered every other call, took the runner's word,
    /// and the instance went on waiting for that one answer: it took silence for "no change".
    ///
    /// What proved it: the sends were chosen by a list that the store had last confirmed 9.4 s
    /// before, at a revision long passed, and left 2 ms after the choice; no entry had gone back
    /// from leaving; and the watch that failed then had been open for 11.0 s.
    void aSwallowedWatchOfRunnersEndsInTime() { assertBlindTime(wire::runnerKind); }

    /// Callers of a new route got 503, and requests of a changed one went to the service that it
    /// had before: the same silence had swallowed the watch of the routes.
    void aSwallowedWatchOfRoutesEndsInTime() { assertBlindTime(wire::configKind); }

private:
    static void assertBlindTime(const std::string &kind)
    {
        swallowing_store store(kind);
        platform_gateway instance(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const milliseconds asked = store.awaitWatch();
        instance.leave();
        // Given up, the watch is followed by a pause, and by one that is answered at once.
        const milliseconds blind = asked + config::storeReadTime
                + 2 * config::gatewayStorePauseFirst + config::storeProbeWatchTime;
        CPPUNIT_ASSERT_MESSAGE("blind for " + std::to_string(blind.count()) + " ms",
                               blind < settleTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(swallowed_watch_test);

} // namespace poplarspool::adapter
