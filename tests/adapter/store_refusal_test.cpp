#include "adapter/follower_fixture.h"
#include "adapter/scripted_store.h"
#include "platform/kind_watch.h"
#include "platform/names.h"
#include "poplarspool/gateway/limits.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::follower_fixture;
using test::jsonReply;
using test::waitUntil;

/// A clock that advances only on request, so that the load of the machine has no effect.
class manual_clock
{
public:
    clock_source source() const
    {
        clock_source clockSource = systemClock();
        clockSource.mono = [this] { return now(); };
        return clockSource;
    }

    mono_time now() const { return mono_time(1h) + milliseconds(offsetMs.load()); }
    void advance(milliseconds time) { offsetMs += time.count(); }

private:
    std::atomic<std::int64_t> offsetMs{0};
};

/// A store with one runner. It can refuse calls; the runner leaves meanwhile, and the store
/// compacts its history.
class compacting_store
{
public:
    compacting_store()
        : server(
                "store", {"127.0.0.1", 0}, defaultHttpLimits(),
                [this](const http_request &request, http_sink &) { return answer(request); },
                metrics),
          listenAddress(valueOf(server.start()))
    { }

    ~compacting_store() { server.stop(); }

    endpoint address() const { return listenAddress; }
    void refuseCalls() { phase = store_phase::Refusing; }
    void serveWithoutHistory() { phase = store_phase::Compacted; }
    int refusals() const { return refusalCount; }

private:
    enum class store_phase { Serving, Refusing, Compacted };

    std::optional<http_reply> answer(const http_request &request)
    {
        const bool isWatch = request.path.find("watch=") != std::string::npos;
        if (!request.path.starts_with(std::string(wire::objectsPath) + wire::runnerKind))
            return jsonReply(R"({"items":[],"events":[],"currentRev":5})");
        switch (phase.load()) {
        case store_phase::Refusing:
            ++refusalCount;
            return jsonReply("{}", 503);
        case store_phase::Compacted:
            return isWatch ? jsonReply("{}", 410) : jsonReply(R"({"items":[],"currentRev":9})");
        case store_phase::Serving:
            break;
        }
        return isWatch ? jsonReply(R"({"events":[],"currentRev":5})")
                       : jsonReply(R"({"items":[{"metadata":{"name":"i-1"},"spec":{"service":"s",
                                       "address":"10.0.0.1:8080","state":"in_service"}}],
                                       "currentRev":5})");
    }

    metrics_registry metrics;
    std::atomic<store_phase> phase{store_phase::Serving};
    std::atomic<int> refusalCount{0};
    http_server server;
    const endpoint listenAddress;
};

gateway::gateway_settings settingsFor(const compacting_store &store)
{
    gateway::gateway_settings settings;
    settings.instance.text = "edge-1";
    settings.storeAddress = store.address();
    return settings;
}

/// A watch of an instance that relies on a relay. It lists the runners once and then makes no
/// calls.
struct relayed_watch
{
    relayed_watch(const compacting_store &store, const manual_clock &clock)
        : client(store.address(), metrics), events({"test"}, clock.source(), 16),
          watch(wire::runnerKind, {3s, 2s}, client, handlers(), callbacks(clock), clock.source(),
                metrics, events)
    { }

    ~relayed_watch()
    {
        client.stop();
        watch.stop();
    }

    kind_handlers handlers()
    {
        kind_handlers kindHandlers;
        kindHandlers.onList = [](const std::vector<store_object> &, store_version) {};
        kindHandlers.onChanges = [](const std::vector<store_change> &, revision_range) {};
        kindHandlers.onConfirmation = [](const store_confirmation &) {};
        kindHandlers.onFailure = [this](mono_time sentAt) { failures.push_back(sentAt); };
        kindHandlers.onStoreRollback = [](mono_time) {};
        return kindHandlers;
    }

    relay_callbacks callbacks(const manual_clock &clock) const
    {
        relay_callbacks relayCallbacks;
        relayCallbacks.mayBeRelayed = true;
        relayCallbacks.coveredUntil = [this, &clock](const kind_state &) {
            return isCovered ? std::optional(clock.now() + 1h) : std::nullopt;
        };
        relayCallbacks.role = [] { return peer::relay_role::None; };
        return relayCallbacks;
    }

    bool isIdle() const { return !events.events({"store_followed_by_others", {}, {}}).empty(); }

    std::atomic<bool> isCovered{true};
    std::vector<mono_time> failures; ///< When the failed calls were sent.
    metrics_registry metrics;
    store_client client;
    journal events;
    kind_watch watch;
};

} // namespace

class store_refusal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_refusal_test);
    CPPUNIT_TEST(runnerGoneDuringRefusalsIsDroppedInTime);
    CPPUNIT_TEST(storeLossOfAnotherInstanceDoesNotExtendTheGracePeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers that one instance sent to a runner that had left 12 s before, and
    /// that would have been cut off at its end. The store had refused calls of that instance for
    /// seconds; the runner left, and the store compacted its history before it served the instance
    /// again. Its reply 410 counted as one more failed call. Entries missing right after an outage
    /// have a grace period that is counted from the last failed call, and this call came after the
    /// outage.
    ///
    /// In the observed failure, the runners of the late requests were chosen from a list confirmed
    /// half a second before, which retained the missing runner. The grace period was counted from
    /// the watch with the reply 410, which was sent 0.8 s after the end of the outage.
    void runnerGoneDuringRefusalsIsDroppedInTime()
    {
        compacting_store store;
        manual_clock clock;
        follower_fixture one(settingsFor(store), clock.source());
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return one.find("i-1") != nullptr; }));
        store.refuseCalls();
        CPPUNIT_ASSERT(waitUntil([&] { return one.hasLogged("store_lost"); }));
        clock.advance(9s);
        const int before = store.refusals();
        CPPUNIT_ASSERT(waitUntil([&] { return store.refusals() >= before + 2; }));
        const mono_time recoveredAt = clock.now();
        store.serveWithoutHistory();
        clock.advance(1s);
        CPPUNIT_ASSERT(waitUntil([&] { return one.hasLogged("store_regained"); }));
        const auto entry = one.find("i-1");
        const mono_time lastArrival =
                (entry ? entry->retainedUntil : clock.now()) + config::gracePeriodMargin;
        const milliseconds after =
                std::chrono::duration_cast<milliseconds>(lastArrival - recoveredAt);
        CPPUNIT_ASSERT_MESSAGE("used for " + std::to_string(after.count())
                                       + " ms after the recovery",
                               lastArrival <= recoveredAt + one.ownSettings.settleTime);
    }

    /// An instance that relies on a relay is disconnected for seconds, and a runner leaves. Just as
    /// the instance is connected again, another one reports that it has lost the store itself.
    /// Counted as a failure of the instance's own access to the store, this separate outage would
    /// keep the runner in use for longer, and callers would be cut off at its end.
    void storeLossOfAnotherInstanceDoesNotExtendTheGracePeriod()
    {
        compacting_store store;
        manual_clock clock;
        relayed_watch one(store, clock);
        one.watch.start();
        CPPUNIT_ASSERT(waitUntil([&] { return one.isIdle(); }));
        one.watch.applyRelayed({5, {0, 6}}, 1, clock.now(), [] { return true; });
        const mono_time lastUpdateAt = clock.now();
        clock.advance(9s);
        one.isCovered = false;
        one.watch.recordRelayStoreLoss();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.failures.size());
        CPPUNIT_ASSERT(one.failures.front() <= lastUpdateAt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_refusal_test);

} // namespace poplarspool::adapter
