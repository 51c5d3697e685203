#include "adapter/following_instance.h"
#include "adapter/scripted_store.h"
#include "platform/kind_watch.h"
#include "platform/names.h"
#include "poplarspool/gateway/limits.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::following_instance;
using test::jsonReply;
using test::waitUntil;

/// A clock that stands still between its jumps, so that a busy machine changes nothing.
class jumping_clock
{
public:
    clock_source source() const
    {
        clock_source made = systemClock();
        made.mono = [this] { return now(); };
        return made;
    }

    mono_time now() const { return mono_time(1h) + milliseconds(ahead.load()); }
    void jump(milliseconds time) { ahead += time.count(); }

private:
    std::atomic<std::int64_t> ahead{0};
};

/// A store with one runner. It can turn its caller away; the runner leaves meanwhile, and the
/// store drops its history.
class forgetful_store
{
public:
    forgetful_store()
        : server(
                "store", {"127.0.0.1", 0}, defaultHttpLimits(),
                [this](const http_request &request, http_sink &) { return answer(request); },
                metrics),
          address(valueOf(server.start()))
    { }

    ~forgetful_store() { server.stop(); }

    endpoint at() const { return address; }
    void turnAway() { phase = store_phase::TurnsAway; }
    void serveWithoutHistory() { phase = store_phase::HasForgotten; }
    int refusals() const { return refused; }

private:
    enum class store_phase { Serves, TurnsAway, HasForgotten };

    std::optional<http_reply> answer(const http_request &request)
    {
        const bool isWatch = request.path.find("watch=") != std::string::npos;
        if (!request.path.starts_with(std::string(wire::objectsPath) + wire::runnerKind))
            return jsonReply(R"({"items":[],"events":[],"currentRev":5})");
        switch (phase.load()) {
        case store_phase::TurnsAway:
            ++refused;
            return jsonReply("{}", 503);
        case store_phase::HasForgotten:
            return isWatch ? jsonReply("{}", 410) : jsonReply(R"({"items":[],"currentRev":9})");
        case store_phase::Serves:
            break;
        }
        return isWatch ? jsonReply(R"({"events":[],"currentRev":5})")
                       : jsonReply(R"({"items":[{"metadata":{"name":"i-1"},"spec":{"service":"s",
                                       "address":"10.0.0.1:8080","state":"in_service"}}],
                                       "currentRev":5})");
    }

    metrics_registry metrics;
    std::atomic<store_phase> phase{store_phase::Serves};
    std::atomic<int> refused{0};
    http_server server;
    const endpoint address;
};

gateway::gateway_settings settingsFor(const forgetful_store &store)
{
    gateway::gateway_settings made;
    made.instance.text = "edge-1";
    made.storeAddress = store.at();
    return made;
}

/// A watch of an instance that relies on others. It lists the runners once, and then makes no call.
struct relying_watch
{
    relying_watch(const forgetful_store &store, const jumping_clock &clock)
        : client(store.at(), metrics), events({"test"}, clock.source(), 16),
          watch(wire::runnerKind, {3s, 2s}, client, handlers(), sources(clock), clock.source(),
                metrics, events)
    { }

    ~relying_watch()
    {
        client.stop();
        watch.stop();
    }

    kind_handlers handlers()
    {
        kind_handlers made;
        made.onList = [](const std::vector<store_object> &, store_version) {};
        made.onChanges = [](const std::vector<store_change> &, store_span) {};
        made.onAnswer = [](const store_answer &) {};
        made.onFailure = [this](mono_time askedAt) { failures.push_back(askedAt); };
        made.onOlderCopy = [](mono_time) {};
        return made;
    }

    news_sources sources(const jumping_clock &clock) const
    {
        news_sources made;
        made.coveredUntil = [this, &clock](const kind_state &) {
            return isCovered ? std::optional(clock.now() + 1h) : std::nullopt;
        };
        made.isTelling = [] { return false; };
        return made;
    }

    bool isIdle() const { return !events.events({"store_followed_by_others", {}, {}}).empty(); }

    std::atomic<bool> isCovered{true};
    std::vector<mono_time> failures; ///< As they were told: when the call was sent.
    metrics_registry metrics;
    store_client client;
    journal events;
    kind_watch watch;
};

} // namespace

class turned_away_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(turned_away_test);
    CPPUNIT_TEST(whatLeftMeanwhileIsLeftAloneInTime);
    CPPUNIT_TEST(theWordOfOthersDoesNotProlongATrouble);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Callers were sent to a runner that had left 12 s before, by one instance, and would have
    /// been cut off at its end. The store had turned that instance away for seconds; the runner
    /// left, and the store dropped its history before the instance was served again. The store's
    /// word for that counted as one more call that failed. What is missing right after an outage is
    /// forgiven for a time that is counted from the last such call, and this one came after the
    /// trouble.
    ///
    /// What proved it: the late requests were chosen by a list confirmed half a second before, in
    /// which the runner was kept though missing; the failure from which that time was counted was
    /// the watch that the store had answered with "forgotten", sent 0.8 s after the trouble's end.
    void whatLeftMeanwhileIsLeftAloneInTime()
    {
        forgetful_store store;
        jumping_clock clock;
        following_instance one(settingsFor(store), clock.source());
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return one.find("i-1") != nullptr; }));
        store.turnAway();
        CPPUNIT_ASSERT(waitUntil([&] { return one.hasLogged("store_lost"); }));
        clock.jump(9s);
        const int before = store.refusals();
        CPPUNIT_ASSERT(waitUntil([&] { return store.refusals() >= before + 2; }));
        const mono_time backAt = clock.now();
        store.serveWithoutHistory();
        clock.jump(1s);
        CPPUNIT_ASSERT(waitUntil([&] { return one.hasLogged("store_regained"); }));
        const auto left = one.find("i-1");
        const mono_time lastArrival =
                (left ? left->keptUntil : clock.now()) + config::forgivenMargin;
        const milliseconds after = std::chrono::duration_cast<milliseconds>(lastArrival - backAt);
        CPPUNIT_ASSERT_MESSAGE("used for " + std::to_string(after.count()) + " ms after the return",
                               lastArrival <= backAt + one.choices.settleTime);
    }

    /// An instance that relied on the others is cut off for seconds, and a runner leaves. Just as
    /// it is back, another one says that it has lost the store itself. That is another trouble:
    /// counted as a failure of the own way to the store, it would keep the runner in use for
    /// longer, and callers would be cut off at its end.
    void theWordOfOthersDoesNotProlongATrouble()
    {
        forgetful_store store;
        jumping_clock clock;
        relying_watch one(store, clock);
        one.watch.start();
        CPPUNIT_ASSERT(waitUntil([&] { return one.isIdle(); }));
        one.watch.takeRelayed({5, {0, 6}}, clock.now(), [] { return true; });
        const mono_time lastHeard = clock.now();
        clock.jump(9s);
        one.isCovered = false;
        one.watch.noteLossElsewhere();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.failures.size());
        CPPUNIT_ASSERT(one.failures.front() <= lastHeard);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(turned_away_test);

} // namespace poplarspool::adapter
