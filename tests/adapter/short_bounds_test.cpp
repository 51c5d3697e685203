#include "adapter/pair_of_instances.h"
#include "own_process.h"
#include "poplarspool/config.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;

using test::configSpec;
using test::pair_of_instances;
using test::runnerSpec;
using test::small_store;
using test::waitUntil;

/// Too short for news by way of another instance.
constexpr milliseconds shortBound = 1500ms;
constexpr int losses = 3;

bool haveLogged(const pair_of_instances &both, const std::string &kind)
{
    return both.one->hasLogged(kind) && both.two->hasLogged(kind);
}

bool hasAnyLogged(const pair_of_instances &both, const std::string &kind)
{
    return both.one->hasLogged(kind) || both.two->hasLogged(kind);
}

/// Two instances of short bounds follow a store, and lose it.
/// @returns Whether each did so by itself.
bool followAndLoseStore()
{
    small_store store;
    store.put(wire::configKind, wire::configName, configSpec(4));
    store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
    const pair_of_instances both(store, [](gateway::gateway_settings &choices) {
        choices.routesBound = shortBound;
        choices.runnersBound = shortBound;
    });
    if (!waitUntil([&] { return both.bothKnow(4, false); }))
        return false;
    std::this_thread::sleep_for(2 * config::standInTimeMost);
    store.put(wire::configKind, wire::configName, configSpec(9));
    if (!waitUntil([&] { return both.bothKnow(9, false); }))
        return false;
    store.end();
    if (!waitUntil([&] { return haveLogged(both, "store_lost"); }))
        return false;
    std::this_thread::sleep_for(2 * config::storeNewsTime);
    return !hasAnyLogged(both, "store_telling_began")
            && !hasAnyLogged(both, "store_followed_by_others");
}

} // namespace

class short_bounds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(short_bounds_test);
    CPPUNIT_TEST(theLossOfTheStoreEndsNoInstance);
    CPPUNIT_TEST(aKindOfShortBoundIsFollowedByEach);
    CPPUNIT_TEST_SUITE_END();

public:
    /// All that heard another instance lose the store ended, where the bounds were short.
    void theLossOfTheStoreEndsNoInstance()
    {
        for (int i = 0; i < losses; ++i)
            poplarspool::test::expectEndsWell(followAndLoseStore);
    }

    /// The kind whose bound is long is still followed by one for both.
    void aKindOfShortBoundIsFollowedByEach()
    {
        small_store store;
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        const pair_of_instances both(store, [](gateway::gateway_settings &choices) {
            choices.routesBound = shortBound;
        });
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthers() >= 1; }));
        store.put(wire::configKind, wire::configName, configSpec(4));
        store.put(wire::runnerKind, "i-1", runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return both.bothKnow(4, true); }));
        for (const auto *one : {both.one.get(), both.two.get()}) {
            for (const event &entry : one->events.events({"store_followed_by_others", {}, {}}))
                CPPUNIT_ASSERT_EQUAL(std::string(wire::runnerKind), entry.fields.front().value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(short_bounds_test);

} // namespace poplarspool::adapter
