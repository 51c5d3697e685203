#include "adapter/instance_objects.h"
#include "platform/adapter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using test::completeSettings;
using test::doesMarkOutdated;
using test::fake_store;
using test::follower_fixture;
using test::isUsed;
using test::listInstances;
using test::putRunner;
using test::settingsFor;
using test::waitUntil;

bool hasEntry(const follower_fixture &one, const std::string &runner, std::uint64_t writes)
{
    const auto entry = one.find(runner);
    return entry && entry->writes == writes;
}

} // namespace

class late_write_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_write_test);
    CPPUNIT_TEST(lateWriteOfARunnerDoesNotUndoDraining);
    CPPUNIT_TEST(staleListDoesNotUndoDraining);
    CPPUNIT_TEST(startedInstanceLearnsOfALateWrite);
    CPPUNIT_TEST(lateWriteOfAnEarlierProcessIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests to a leaving runner: the store executes a write that got no answer
    /// seconds after the runner has announced that it leaves.
    void lateWriteOfARunnerDoesNotUndoDraining()
    {
        fake_store store;
        putRunner(store, "a", "in_service", 3);
        follower_fixture instance(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(instance.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return isUsed(instance, "a"); }));
        putRunner(store, "a", "draining", 9);
        CPPUNIT_ASSERT(waitUntil([&] { return hasEntry(instance, "a", 9); }));
        putRunner(store, "a", "in_service", 8);
        CPPUNIT_ASSERT(waitUntil([&] { return instance.hasLogged("runner_entry_outdated"); }));
        CPPUNIT_ASSERT(!isUsed(instance, "a"));
        CPPUNIT_ASSERT(waitUntil([&] { return instance.markerChanges > 0; }));
        putRunner(store, "a", "draining", 10);
        CPPUNIT_ASSERT(waitUntil([&] { return hasEntry(instance, "a", 10); }));
        CPPUNIT_ASSERT(!isUsed(instance, "a"));
    }

    /// The same for an instance that lists anew, of which some pages are seconds old.
    void staleListDoesNotUndoDraining()
    {
        fake_store store;
        putRunner(store, "a", "in_service", 8);
        putRunner(store, "b", "in_service", 1);
        store.staleContent = store.takeSnapshot();
        store.pageSize = 1;
        putRunner(store, "a", "draining", 9);
        follower_fixture instance(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(instance.follower.start()));
        CPPUNIT_ASSERT(waitUntil([&] { return hasEntry(instance, "a", 9); }));
        putRunner(store, "a", "in_service", 8);
        putRunner(store, "b", "draining", 2);
        CPPUNIT_ASSERT(waitUntil([&] { return hasEntry(instance, "b", 2); }));
        CPPUNIT_ASSERT(!isUsed(instance, "a"));
    }

    /// Guards against an instance that starts while the store has the late write only, and sends
    /// callers to a runner that has left.
    void startedInstanceLearnsOfALateWrite()
    {
        fake_store store;
        putRunner(store, "gone", "in_service", 3);
        putRunner(store, "stays", "in_service", 3);
        platform_gateway running(completeSettings(store));
        CPPUNIT_ASSERT(succeeded(running.start()));
        const bool hasRegistered =
                waitUntil([&] { return store.has(wire::instanceKind, "edge-1"); });
        putRunner(store, "gone", "draining", 9);
        const int watchesBefore = store.watches;
        const bool hasSeenDraining = waitUntil([&] { return store.watches >= watchesBefore + 4; });
        putRunner(store, "gone", "in_service", 8);
        const bool isMarked = waitUntil([&] { return doesMarkOutdated(store, "edge-1", "gone"); });
        follower_fixture started(settingsFor(store));
        CPPUNIT_ASSERT(succeeded(started.follower.start()));
        started.follower.setInstances(listInstances(started));
        const bool isAvoided =
                waitUntil([&] { return isUsed(started, "stays") && !isUsed(started, "gone"); });
        running.leave();
        CPPUNIT_ASSERT(hasRegistered && hasSeenDraining);
        CPPUNIT_ASSERT(isMarked);
        CPPUNIT_ASSERT(isAvoided);
    }

    /// Guards against an instance that the others look for at the address of its previous process,
    /// whose write of its object is executed after the new one's.
    void lateWriteOfAnEarlierProcessIsReplaced()
    {
        fake_store store;
        platform_gateway instance(completeSettings(store));
        CPPUNIT_ASSERT(succeeded(instance.start()));
        const bool hasRegistered =
                waitUntil([&] { return store.has(wire::instanceKind, "edge-1"); });
        const auto before = store.writes.load();
        store.put(wire::instanceKind, "edge-1",
                  R"({"peer":"127.0.0.9:1","load":"127.0.0.9:2","zone":"a"})");
        const bool isWrittenAgain = waitUntil([&] { return store.writes > before; });
        instance.leave();
        CPPUNIT_ASSERT(hasRegistered);
        CPPUNIT_ASSERT(isWrittenAgain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_write_test);

} // namespace poplarspool::adapter
