#include "adapter/crashing_runners.h"
#include "adapter/gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::crashing_runner;
using test::crashing_runners;
using test::fake_store;
using test::gateway_fleet;
using test::reply_form;
using test::waitUntil;

constexpr int instanceCount = 6;
constexpr int runnerCount = 5;
/// Pause between two requests with a part that crashes runners.
constexpr auto requestInterval = 600ms;
/// Runners that may crash under a part before all instances refuse it.
constexpr int maxCrashes = 5;
constexpr int checkedRequests = 40;
/// Nineteen in twenty.
constexpr int minServed = 38;

std::string routesSpec()
{
    return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
           R"("pathPrefix":"/p/","kind":"streaming","resumable":true,"service":"s","attempts":2,)"
           R"("timeoutMs":3000,"targetLatencyMs":1000}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

/// @returns The id of a part that crashes runners.
std::string crashingPart(int number)
{
    return std::string(crashing_runner::crashMarker) + "-" + std::to_string(number);
}

/// Whole instances, and runners that crash as they write on a marked part of a prompt and are
/// replaced.
struct part_fleet
{
    explicit part_fleet(std::uint16_t firstPort, reply_form form = reply_form::Sized)
        : runners((store.put(wire::configKind, wire::configName, routesSpec()), store), runnerCount,
                  form),
          instances(store, instanceCount, firstPort)
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
            CPPUNIT_ASSERT(waitUntil([&] { return send(i, "tenant", "sound") == 200; }));
        instances.waitUntilAllKnowEachOther();
    }

    /// Sends a request that equals no other; its prompt has these parts and one of its own.
    int send(std::size_t instance, const std::string &first, const std::string &second)
    {
        const std::string own = std::to_string(++sent);
        return instances.sendRequest(
                instance % instances.size(), "body-" + own,
                {{"X-Prompt-Prefix", first + ":100," + second + ":50," + own + ":10"}});
    }

    /// Sends requests with a crashing part and sound ones with the same first part to one instance
    /// after the other, until `count` requests with a crashing part in a row were refused.
    /// @param parts Number of crashing parts, which take turns.
    void sendUntilRefused(int parts, int count = 2 * instanceCount)
    {
        int refused = 0;
        for (int i = 0; refused < count && i < 100; ++i) {
            const bool isRefused = send(nextInstance++, "tenant", crashingPart(i % parts)) == 503;
            refused = isRefused ? refused + 1 : 0;
            runners.replaceCrashed();
            if (!isRefused) {
                std::this_thread::sleep_for(requestInterval);
                send(nextInstance, "tenant", "sound");
            }
        }
    }

    /// Asserts that no instance sends a request with one of the parts to a runner, and that sound
    /// requests with the same first part are served.
    void assertRefused(int parts, int maxCrashed)
    {
        const std::string text = std::to_string(runners.crashedCount()) + " runners crashed";
        CPPUNIT_ASSERT_MESSAGE(text, runners.crashedCount() <= maxCrashed);
        const int sentBefore = runners.crashRequests();
        int served = 0;
        for (int i = 0; i < checkedRequests; ++i) {
            CPPUNIT_ASSERT_EQUAL(503, send(nextInstance, "tenant", crashingPart(i % parts)));
            served += send(nextInstance++, "tenant", "sound") == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(sentBefore, runners.crashRequests());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " sound requests served",
                               served >= minServed);
    }

    fake_store store;
    crashing_runners runners;
    gateway_fleet instances;
    std::size_t nextInstance = 0;
    int sent = 0;
};

} // namespace

class crashing_part_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_part_test);
    CPPUNIT_TEST(partThatCrashesRunnersIsRefused);
    CPPUNIT_TEST(twoPartsThatCrashRunnersAreRefused);
    CPPUNIT_TEST(partThatWasServedBeforeIsRefused);
    CPPUNIT_TEST(streamThatACrashEndsBetweenEventsIsBrokenOff);
    CPPUNIT_TEST(partWhoseStreamsEndBetweenEventsIsRefused);
    CPPUNIT_TEST(partIsRefusedAfterAllInstancesWereStopped);
    CPPUNIT_TEST(crashesOfAllRunnersConvictNoPart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a part of prompts that crashes one runner after another because no two
    /// requests with it are alike.
    void partThatCrashesRunnersIsRefused()
    {
        part_fleet fleet(25000);
        fleet.sendUntilRefused(1);
        fleet.assertRefused(1, maxCrashes);
    }

    /// Guards against parts that hide behind each other's crashes.
    void twoPartsThatCrashRunnersAreRefused()
    {
        part_fleet fleet(25100);
        fleet.sendUntilRefused(2);
        fleet.assertRefused(2, 2 * maxCrashes);
    }

    /// Guards against earlier answers that speak for a part for ever.
    void partThatWasServedBeforeIsRefused()
    {
        part_fleet fleet(25200);
        fleet.runners.setVulnerable(false);
        for (std::size_t i = 0; i < fleet.instances.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(200, fleet.send(i, "tenant", crashingPart(0)));
        fleet.runners.setVulnerable(true);
        fleet.sendUntilRefused(1);
        fleet.assertRefused(1, maxCrashes + 1);
    }

    /// Guards against a stream without length or chunks that looks complete although its runner
    /// has crashed.
    void streamThatACrashEndsBetweenEventsIsBrokenOff()
    {
        for (const reply_form form : {reply_form::EndsBetweenEvents, reply_form::EndsWithinEvent}) {
            part_fleet fleet(form == reply_form::EndsBetweenEvents ? 25300 : 25400, form);
            const int status = fleet.send(0, "tenant", crashingPart(0));
            CPPUNIT_ASSERT_MESSAGE("whole answer", status != 200);
        }
    }

    /// Guards against such streams clearing the part that has crashed their runners.
    void partWhoseStreamsEndBetweenEventsIsRefused()
    {
        part_fleet fleet(25500, reply_form::EndsBetweenEvents);
        fleet.sendUntilRefused(1);
        fleet.assertRefused(1, maxCrashes);
    }

    /// Guards against verdicts that end with the instances that reached them.
    void partIsRefusedAfterAllInstancesWereStopped()
    {
        part_fleet fleet(25600);
        fleet.sendUntilRefused(1);
        std::this_thread::sleep_for(2s);
        for (int i = 0; i < instanceCount; ++i)
            fleet.instances.stop(static_cast<std::size_t>(i));
        fleet.instances.startOne();
        fleet.nextInstance = instanceCount;
        CPPUNIT_ASSERT(waitUntil(
                [&] { return fleet.send(fleet.nextInstance, "tenant", "sound") == 200; }));
        const int sentBefore = fleet.runners.crashRequests();
        CPPUNIT_ASSERT_EQUAL(503, fleet.send(fleet.nextInstance, "tenant", crashingPart(0)));
        CPPUNIT_ASSERT_EQUAL(sentBefore, fleet.runners.crashRequests());
    }

    /// Guards against a sound part that is refused because runners crash while they serve it.
    void crashesOfAllRunnersConvictNoPart()
    {
        part_fleet fleet(25700);
        for (int round = 0; round < 2 * maxCrashes; ++round) {
            fleet.runners.crashAllAtNextRequest();
            for (std::size_t i = 0; i < runnerCount; ++i)
                fleet.send(i, "tenant", i % 2 == 0 ? "sound" : "new-" + std::to_string(round));
            fleet.runners.replaceCrashed();
            CPPUNIT_ASSERT(waitUntil([&] { return fleet.send(0, "tenant", "sound") == 200; }));
            std::this_thread::sleep_for(requestInterval);
        }
        for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(200, fleet.send(i, "tenant", "sound"));
            CPPUNIT_ASSERT_EQUAL(200, fleet.send(i, "tenant", "new-0"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_part_test);

} // namespace poplarspool::adapter
