#include "adapter/pair_of_instances.h"
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
using test::knows;
using test::pair_of_instances;
using test::runnerSpec;
using test::small_store;
using test::waitUntil;

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
