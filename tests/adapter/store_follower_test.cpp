#include "adapter/following_instance.h"
#include "adapter/small_store.h"
#include "platform/kind_watch.h"
#include "platform/names.h"
#include "poplarspool/config.h"
#include "poplarspool/gateway/limits.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::configSpec;
using test::following_instance;
using test::runnerSpec;
using test::small_store;
using test::waitUntil;

gateway::gateway_settings settingsFor(const small_store &store, const std::string &name,
                                      std::uint16_t port)
{
    gateway::gateway_settings made;
    made.instance.text = name;
    made.zone.text = "a";
    made.peerAddress = {"127.0.0.1", port};
    made.sharesStoreNews = true;
    made.storeAddress = store.at();
    return made;
}

bool knows(const following_instance &one, std::uint64_t version, bool isDraining)
{
    const auto table = one.hub.current()->table;
    const auto runner = one.find("i-1");
    return table && table->version == version && runner && runner->isDraining == isDraining;
}

/// Two instances that tell each other. Ports are free on loopback in turns, so that a busy one is
/// passed over.
struct pair_of_instances
{
    explicit pair_of_instances(const small_store &store)
    {
        for (std::uint16_t port = 21400; port < 23000 && !isStarted; port += 4) {
            one = std::make_unique<following_instance>(settingsFor(store, "edge-1", port));
            two = std::make_unique<following_instance>(settingsFor(store, "edge-2", port + 2));
            isStarted = succeeded(one->follower.start()) && succeeded(two->follower.start());
        }
        CPPUNIT_ASSERT(isStarted);
        one->follower.setListed({one->entry(), two->entry()});
        two->follower.setListed({one->entry(), two->entry()});
    }

    std::size_t followedByOthers() const
    {
        return one->events.events({"store_followed_by_others", {}, {}}).size()
                + two->events.events({"store_followed_by_others", {}, {}}).size();
    }

    bool bothKnow(std::uint64_t version, bool isDraining) const
    {
        return knows(*one, version, isDraining) && knows(*two, version, isDraining);
    }

    std::unique_ptr<following_instance> one;
    std::unique_ptr<following_instance> two;
    bool isStarted = false;
};

} // namespace

class store_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_follower_test);
    CPPUNIT_TEST(oneFollowsTheStoreForBoth);
    CPPUNIT_TEST(whoIsToldNothingFollowsTheStore);
    CPPUNIT_TEST(confirmationsLastUntilTheNext);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Each call to the store is paid for: of two instances, one asks, and the other hears of the
    /// first routes, of a leaving runner and of new routes from it.
    ///
    /// The first routes were once left out: whoever relied on another instance then had none, and
    /// answered 503 until the next change.
    void oneFollowsTheStoreForBoth()
    {
        small_store store;
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        const pair_of_instances both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthers() >= 2; }));
        store.put(wire::configKind, wire::configName, configSpec(4));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothKnow(4, false); }));
        store.put(wire::runnerKind, "i-1", runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothKnow(4, true); }));
        store.put(wire::configKind, wire::configName, configSpec(9));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothKnow(9, true); }));
    }

    /// The instance that told dies. The other one must not go on as if nothing changed: a runner
    /// that leaves right then would be sent requests until callers are cut off.
    void whoIsToldNothingFollowsTheStore()
    {
        small_store store;
        store.put(wire::configKind, wire::configName, configSpec(4));
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        pair_of_instances both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthers() >= 2; }));
        const bool isFirstTold =
                !both.one->events.events({"store_followed_by_others", {}, {}}).empty();
        (isFirstTold ? both.two : both.one).reset();
        const following_instance &left = isFirstTold ? *both.one : *both.two;
        store.put(wire::runnerKind, "i-1", runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return knows(left, 4, true); }));
    }

    /// By each user's bounds: who relies on another instance hears its next confirmation before the
    /// last one ceases to count, also where a datagram is lost; and when it does cease, there is
    /// time to ask the store.
    void confirmationsLastUntilTheNext()
    {
        for (const milliseconds bound : {2s, 3s, 4s}) {
            const news_bounds bounds{bound + 1s, bound};
            const milliseconds cycle = tellersWatchTimeFor(bounds) + config::tellersWatchGap
                    + config::storeConfirmDelay + config::storeNewsTime;
            CPPUNIT_ASSERT(cycle < trustTimeFor(bounds));
            CPPUNIT_ASSERT(trustTimeFor(bounds) + config::untoldNoticeTime <= bound);
        }
        CPPUNIT_ASSERT(trustTimeFor({1s, 1s}) == 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_follower_test);

} // namespace poplarspool::adapter
