#include "adapter/follower_pair.h"
#include "clean_exit.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;

using test::configSpec;
using test::fake_store;
using test::follower_pair;
using test::runnerSpec;
using test::waitUntil;

/// Too short for updates through a relay.
constexpr milliseconds shortBound = 1500ms;
constexpr int losses = 3;

bool haveBothLogged(const follower_pair &both, const std::string &kind)
{
    return both.one->hasLogged(kind) && both.two->hasLogged(kind);
}

bool hasAnyLogged(const follower_pair &both, const std::string &kind)
{
    return both.one->hasLogged(kind) || both.two->hasLogged(kind);
}

/// Two instances with short staleness bounds follow a store and lose it.
/// @returns Whether each of them followed it directly, without a relay.
bool followAndLoseStore()
{
    fake_store store;
    store.put(wire::configKind, wire::configName, configSpec(4));
    store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
    const follower_pair both(store, [](gateway::gateway_settings &settings) {
        settings.routesBound = shortBound;
        settings.runnersBound = shortBound;
    });
    if (!waitUntil([&] { return both.bothHave(4, false); }))
        return false;
    std::this_thread::sleep_for(2 * config::maxTakeoverDelay);
    store.put(wire::configKind, wire::configName, configSpec(9));
    if (!waitUntil([&] { return both.bothHave(9, false); }))
        return false;
    store.stop();
    if (!waitUntil([&] { return haveBothLogged(both, "store_lost"); }))
        return false;
    std::this_thread::sleep_for(2 * config::storeUpdateInterval);
    return !hasAnyLogged(both, "store_telling_began")
            && !hasAnyLogged(both, "store_followed_by_others");
}

} // namespace

class short_staleness_bounds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(short_staleness_bounds_test);
    CPPUNIT_TEST(storeLossDoesNotTerminateInstances);
    CPPUNIT_TEST(kindWithShortBoundIsFollowedByEachInstance);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a crash of instances with short bounds that are informed of the store loss of
    /// another one.
    void storeLossDoesNotTerminateInstances()
    {
        for (int i = 0; i < losses; ++i)
            poplarspool::test::expectCleanExit(followAndLoseStore);
    }

    /// The kind with a long bound is still followed by one instance for both.
    void kindWithShortBoundIsFollowedByEachInstance()
    {
        fake_store store;
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        const follower_pair both(store, [](gateway::gateway_settings &settings) {
            settings.routesBound = shortBound;
        });
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 1; }));
        store.put(wire::configKind, wire::configName, configSpec(4));
        store.put(wire::runnerKind, "i-1", runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothHave(4, true); }));
        for (const auto *one : {both.one.get(), both.two.get()}) {
            for (const event &entry : one->events.events({"store_followed_by_others", {}, {}}))
                CPPUNIT_ASSERT_EQUAL(std::string(wire::runnerKind), entry.fields.front().value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(short_staleness_bounds_test);

} // namespace poplarspool::adapter
