#include "adapter/follower_pair.h"
#include "platform/kind_watch.h"
#include "platform/limits.h"
#include "platform/names.h"
#include "poplarspool/peer/limits.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::configSpec;
using test::fake_store;
using test::follower_fixture;
using test::follower_pair;
using test::hasState;
using test::runnerSpec;
using test::waitUntil;

} // namespace

class store_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_follower_test);
    CPPUNIT_TEST(oneInstanceFollowsTheStoreForBoth);
    CPPUNIT_TEST(instanceWithoutARelayFollowsTheStore);
    CPPUNIT_TEST(confirmationsLastUntilTheNextOne);
    CPPUNIT_TEST(manyChangesAtOnceCostNoCallPerInstance);
    CPPUNIT_TEST(stalePagesOfALongListAreCaughtUp);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Each call to the store is billed, so only one of two instances makes them. The other one
    /// receives the first routes, the leaving of a runner and new routes from it.
    ///
    /// Guards against updates without the first routes: an instance that relied on a relay had none
    /// and answered 503 until the next change.
    void oneInstanceFollowsTheStoreForBoth()
    {
        fake_store store;
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        const follower_pair both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
        store.put(wire::configKind, wire::configName, configSpec(4));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothHave(4, false); }));
        store.put(wire::runnerKind, "i-1", runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothHave(4, true); }));
        store.put(wire::configKind, wire::configName, configSpec(9));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothHave(9, true); }));
    }

    /// The relay ends. The other instance must not go on as if nothing changed: a runner that
    /// leaves at that time would be sent requests until callers are cut off.
    void instanceWithoutARelayFollowsTheStore()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, configSpec(4));
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        follower_pair both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
        const bool isFirstRelayed =
                !both.one->events.events({"store_followed_by_others", {}, {}}).empty();
        (isFirstRelayed ? both.two : both.one).reset();
        const follower_fixture &remaining = isFirstRelayed ? *both.one : *both.two;
        store.put(wire::runnerKind, "i-1", runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return hasState(remaining, 4, true); }));
    }

    /// A release drains hundreds of runners at once, more than a datagram holds. If the relay left
    /// the changes out, all instances of its zone would query the store at the same moment.
    void manyChangesAtOnceCostNoCallPerInstance()
    {
        constexpr int released = 300;
        fake_store store;
        store.put(wire::configKind, wire::configName, configSpec(4));
        store.putMany(wire::runnerKind, "r-", released, runnerSpec("in_service"));
        const follower_pair both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
        const auto followedHere = [&] {
            return both.one->events.events({"store_followed_here", {}, {}}).size()
                    + both.two->events.events({"store_followed_here", {}, {}}).size();
        };
        const std::size_t before = followedHere();
        store.putMany(wire::runnerKind, "r-", released, runnerSpec("draining"));
        const auto knowsAll = [](const follower_fixture &instance) {
            for (int i = 0; i < released; ++i) {
                const auto known = instance.find("r-" + std::to_string(i));
                if (!known || !known->isDraining)
                    return false;
            }
            return true;
        };
        CPPUNIT_ASSERT(waitUntil([&] { return knowsAll(*both.one) && knowsAll(*both.two); }));
        CPPUNIT_ASSERT_EQUAL(before, followedHere());
    }

    /// The pages of a long list after the first are stale, since a thousand instances that start at
    /// once need thousands of pages. A runner that has begun to drain since then, or has left, must
    /// not get requests at any time.
    void stalePagesOfALongListAreCaughtUp()
    {
        fake_store store;
        store.pageSize = 2;
        store.put(wire::configKind, wire::configName, configSpec(4));
        store.putMany(wire::runnerKind, "r-", 7, runnerSpec("in_service"));
        store.staleContent = store.takeSnapshot();
        store.put(wire::runnerKind, "r-4", runnerSpec("draining"));
        store.remove(wire::runnerKind, "r-5");
        store.put(wire::runnerKind, "r-7", runnerSpec("in_service"));
        gateway::gateway_settings settings = test::settingsFor(store, "edge-1", 0);
        settings.sharesStoreUpdates = false;
        follower_fixture one(settings);
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return one.publisher.current()->areRunnersKnown; }));
        CPPUNIT_ASSERT(one.find("r-4")->isDraining);
        CPPUNIT_ASSERT(!one.find("r-5"));
        CPPUNIT_ASSERT(one.find("r-6") && one.find("r-7"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, store.stalePages.load());
    }

    /// With each user's bounds, an instance that relies on a relay receives the next confirmation
    /// before the last one expires, even if a datagram is lost. When it does expire, there is time
    /// left for another relay to take over, and to query the store.
    void confirmationsLastUntilTheNextOne()
    {
        for (const milliseconds bound : {2s, 3s, 4s, 5s}) {
            const staleness_bounds bounds{bound + 1s, bound};
            const staleness_budget budget = budgetFor(bounds);
            const milliseconds cycle = relayWatchTimeFor(bounds) + config::relayWatchGap
                    + config::storeConfirmDelay + config::storeUpdateInterval;
            CPPUNIT_ASSERT(cycle < budget.trustTime);
            CPPUNIT_ASSERT(budget.callTime >= config::minFallbackCallTime);
            CPPUNIT_ASSERT(budget.trustTime + budget.takeoverTime + budget.fallbackSpread
                                   + budget.callTime
                           == bound);
        }
        CPPUNIT_ASSERT(budgetFor({1s, 1s}) == staleness_budget{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_follower_test);

} // namespace poplarspool::adapter
