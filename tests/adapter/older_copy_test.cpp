#include "adapter/following_instance.h"
#include "adapter/small_store.h"
#include "platform/adapter.h"
#include "platform/names.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::following_instance;
using test::runnerSpec;
using test::small_store;
using test::waitUntil;

gateway::gateway_settings settingsFor(const small_store &store)
{
    gateway::gateway_settings made;
    made.instance.text = "edge-1";
    made.zone.text = "a";
    made.storeAddress = store.at();
    return made;
}

/// Of a whole instance, at addresses that are free.
gateway::gateway_settings instanceSettings(const small_store &store)
{
    const endpoint any{"127.0.0.1", 0};
    gateway::gateway_settings made = settingsFor(store);
    for (endpoint *each : {&made.callerAddress, &made.readinessAddress, &made.directoryAddress,
                           &made.peerAddress, &made.loadAddress, &made.metricsAddress})
        *each = any;
    made.leaveSeconds = 1;
    return made;
}

/// A clock that stands still, so that on a busy machine nothing is over too early.
clock_source standingClock()
{
    clock_source made = systemClock();
    made.mono = [] { return mono_time(1h); };
    return made;
}

bool isUsed(const following_instance &one, const std::string &runner)
{
    const auto entry = one.find(runner);
    return entry && !entry->isDraining;
}

/// @returns How often the list of runners was found to be of an older copy, and taken.
std::size_t timesGoneBack(const following_instance &one)
{
    const auto isOfRunners = [](const event &each) {
        return each.fields.front().value == wire::runnerKind;
    };
    const auto seen = one.events.events({"store_went_back", {}, {}});
    const auto listed = one.events.events({"runners_listed", {}, {}}).size();
    return std::min<std::size_t>(std::ranges::count_if(seen, isOfRunners), listed - 1);
}

std::vector<gateway::listed_gateway> listedIn(following_instance &one)
{
    const auto listed = one.client.list(wire::instanceKind, read_mode::Current);
    CPPUNIT_ASSERT(succeeded(listed));
    return decodeAll(valueOf(listed).objects, decodeInstance, one.events);
}

/// @returns Whether an instance's object says that a runner's entry is outdated.
bool doesNameOutdated(const small_store &store, const std::string &instance,
                      const std::string &runner)
{
    gateway::gateway_settings reader = settingsFor(store);
    reader.instance.text = "reader";
    following_instance one(reader);
    for (const gateway::listed_gateway &each : listedIn(one)) {
        if (each.id.text == instance
            && std::ranges::find(each.outdated, runner_id{runner}, &gateway::entry_mark::id)
                    != each.outdated.end())
            return true;
    }
    return false;
}

void putRunner(small_store &store, const std::string &name, const std::string &state, int writes)
{
    store.put(wire::runnerKind, name, runnerSpec(state, writes));
}

} // namespace

class older_copy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(older_copy_test);
    CPPUNIT_TEST(aRunnerThatLeftInTheLostTimeIsLeftAlone);
    CPPUNIT_TEST(aRevisionThatMatchesByChanceIsNoticed);
    CPPUNIT_TEST(whatEnteredInTheLostTimeIsKept);
    CPPUNIT_TEST(aSecondCopyWithinTheFirstChangesNothing);
    CPPUNIT_TEST(instancesEnterThemselvesAgainOnce);
    CPPUNIT_TEST(whatWasEnteredBeforeTheFirstListIsEnteredAgain);
    CPPUNIT_TEST(anEpochThatIsNamedOnceIsForgotten);
    CPPUNIT_TEST(whoStartsAfterwardsHearsOfLostLeaving);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Callers are sent to a runner that had said that it leaves, and are cut off at its end. The
    /// store came back from a copy that was made before the runner's word, and its revisions are
    /// given out again. The copy's entry is older than what the instance knows.
    void aRunnerThatLeftInTheLostTimeIsLeftAlone()
    {
        small_store store;
        putRunner(store, "says", "in_service", 4);
        putRunner(store, "silent", "in_service", 4);
        putRunner(store, "stays", "in_service", 4);
        const auto copy = store.current();
        following_instance one(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "says") && isUsed(one, "silent"); }));
        putRunner(store, "says", "draining", 5);
        store.remove(wire::runnerKind, "silent");
        CPPUNIT_ASSERT(waitUntil([&] { return !isUsed(one, "says") && !isUsed(one, "silent"); }));
        store.goBackTo(copy);
        CPPUNIT_ASSERT(waitUntil([&] { return timesGoneBack(one) == 1; }));
        CPPUNIT_ASSERT(isUsed(one, "stays"));
        CPPUNIT_ASSERT(!isUsed(one, "says") && !isUsed(one, "silent"));
        // The one has its word written again; the other lives after all and writes its entry.
        putRunner(store, "says", "draining", 5);
        putRunner(store, "silent", "in_service", 6);
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "silent"); }));
        CPPUNIT_ASSERT(!isUsed(one, "says"));
    }

    /// The store has come back, and by the time of the next call it has taken as many changes as it
    /// had lost. Its revision is the known one, so that the watch goes on as if nothing had
    /// happened: a runner that left meanwhile would stay in use for good.
    void aRevisionThatMatchesByChanceIsNoticed()
    {
        small_store store;
        putRunner(store, "a", "in_service", 4);
        const auto copy = store.current();
        putRunner(store, "b", "in_service", 4);
        following_instance one(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "a") && isUsed(one, "b"); }));
        auto later = copy;
        later.kinds[wire::runnerKind]["a"] = {runnerSpec("draining", 5), ++later.revision, false};
        CPPUNIT_ASSERT_EQUAL(store.current().revision, later.revision);
        store.goBackTo(later);
        CPPUNIT_ASSERT(waitUntil([&] { return !isUsed(one, "a"); }));
    }

    /// A runner entered itself after the copy was made. It is missing in the copy and lives:
    /// dropped at once, callers would be refused although it has room. It writes its entry again.
    void whatEnteredInTheLostTimeIsKept()
    {
        small_store store;
        const auto copy = store.current();
        putRunner(store, "a", "in_service", 1);
        following_instance one(settingsFor(store), standingClock());
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "a"); }));
        store.goBackTo(copy);
        CPPUNIT_ASSERT(waitUntil([&] { return one.hasLogged("runner_missing"); }));
        CPPUNIT_ASSERT(isUsed(one, "a"));
        putRunner(store, "a", "in_service", 2);
        CPPUNIT_ASSERT(waitUntil([&] {
            const auto entry = one.find("a");
            return entry && entry->writes == 2 && entry->keptUntil == mono_time::max();
        }));
    }

    /// The store goes back twice, the second time before the runner's word is written again. The
    /// first copy must not count as news that the second one confirms.
    void aSecondCopyWithinTheFirstChangesNothing()
    {
        small_store store;
        putRunner(store, "a", "in_service", 4);
        const auto copy = store.current();
        following_instance one(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(one.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(one, "a"); }));
        store.remove(wire::runnerKind, "a");
        CPPUNIT_ASSERT(waitUntil([&] { return !isUsed(one, "a"); }));
        for (std::size_t times = 1; times <= 2; ++times) {
            store.goBackTo(copy);
            CPPUNIT_ASSERT(waitUntil([&] { return timesGoneBack(one) == times; }));
            CPPUNIT_ASSERT(!isUsed(one, "a"));
        }
    }

    /// All instances' objects are gone with the lost time. Nobody would list them to the others any
    /// more; each writes its own again, and only once.
    void instancesEnterThemselvesAgainOnce()
    {
        small_store store;
        store.put(wire::configKind, wire::configName, test::configSpec(4));
        const auto copy = store.current();
        platform_gateway instance(instanceSettings(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const auto isListed = [&] { return store.has(wire::instanceKind, "edge-1"); };
        const bool hasEntered = waitUntil(isListed);
        store.goBackTo(copy);
        const bool isBack = waitUntil(isListed);
        const int asked = store.watches;
        const bool goesOn = waitUntil([&] { return store.watches >= asked + 4; });
        instance.leave();
        CPPUNIT_ASSERT(hasEntered);
        CPPUNIT_ASSERT(isBack);
        CPPUNIT_ASSERT(goesOn);
        CPPUNIT_ASSERT_EQUAL(2, store.writes.load());
    }

    /// One answer names an epoch that never was. The instance wrote its entry again every 2 s.
    void anEpochThatIsNamedOnceIsForgotten()
    {
        small_store store;
        store.put(wire::configKind, wire::configName, test::configSpec(4));
        platform_gateway instance(instanceSettings(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const bool hasEntered = waitUntil([&] { return store.has(wire::instanceKind, "edge-1"); });
        store.nameOnce(900'000);
        const int asked = store.watches;
        const bool goesOn = waitUntil([&] { return store.watches >= asked + 24; });
        instance.leave();
        CPPUNIT_ASSERT(hasEntered);
        CPPUNIT_ASSERT(goesOn);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(store.writes), store.writes <= 2);
    }

    /// An instance starts and enters itself; the store goes back before the instance has listed
    /// anything, so that its first list is of the copy already. Nothing shows it but the epoch in
    /// which its object was written: the others would never hear of it.
    void whatWasEnteredBeforeTheFirstListIsEnteredAgain()
    {
        small_store store;
        const auto copy = store.current();
        store.goBackAfterTheFirstWrite(copy);
        platform_gateway instance(instanceSettings(store));
        const bool hasStarted = succeeded(instance.start());
        const bool isBack = waitUntil(
                [&] { return store.writes == 2 && store.has(wire::instanceKind, "edge-1"); });
        instance.leave();
        CPPUNIT_ASSERT(hasStarted);
        CPPUNIT_ASSERT(isBack);
    }

    /// Callers of an instance that started after the store had gone back are sent to a runner that
    /// had left before. The copy has it in service. An instance that knew of its leaving says so in
    /// its own object, which costs one write; who starts lists these objects anyway.
    void whoStartsAfterwardsHearsOfLostLeaving()
    {
        small_store store;
        putRunner(store, "gone", "in_service", 4);
        putRunner(store, "stays", "in_service", 4);
        const auto copy = store.current();
        platform_gateway knowing(instanceSettings(store));
        CPPUNIT_ASSERT(succeeded(knowing.start()));
        const bool hasEntered = waitUntil(
                [&] { return store.has(wire::instanceKind, "edge-1") && store.watches > 2; });
        store.remove(wire::runnerKind, "gone");
        const int asked = store.watches;
        const bool hasHeard = waitUntil([&] { return store.watches >= asked + 4; });
        store.goBackTo(copy);
        const bool isSaid = waitUntil([&] { return doesNameOutdated(store, "edge-1", "gone"); });
        const int written = store.writes;
        following_instance started(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(started.follower.start()));
        started.follower.setListed(listedIn(started));
        const bool isLeftAlone =
                waitUntil([&] { return isUsed(started, "stays") && !isUsed(started, "gone"); });
        knowing.leave();
        CPPUNIT_ASSERT(hasEntered && hasHeard);
        CPPUNIT_ASSERT(isSaid);
        CPPUNIT_ASSERT(isLeftAlone);
        CPPUNIT_ASSERT(written <= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(older_copy_test);

} // namespace poplarspool::adapter
