#include "adapter/fake_store.h"
#include "adapter/follower_fixture.h"
#include "platform/names.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <random>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::fake_store;
using test::follower_fixture;
using test::runnerSpec;
using test::waitUntil;

/// Number of seeds in one run, and of instances for each seed. POPLARSPOOL_STRESS_SEEDS and
/// POPLARSPOOL_STRESS_INSTANCES override them.
constexpr int defaultSeeds = 1;
constexpr int defaultInstances = 3;
constexpr int rounds = 3;
constexpr int runnerCount = 6;
/// Time in which no instance may use a runner that was known to leave. Two datagrams and a call to
/// the store fit into it.
constexpr milliseconds observationTime = 800ms;

int fromEnvironment(const char *name, int defaultValue)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): no setenv() calls.
    return text == nullptr ? defaultValue
                           : std::atoi(text); // NOLINT(cert-err34-c): 0 runs no seed.
}

std::string nameOf(int runner)
{
    return "i-" + std::to_string(runner);
}

bool isUsed(const follower_fixture &one, int runner)
{
    const auto entry = one.find(nameOf(runner));
    return entry && !entry->isDraining && entry->retainedUntil == mono_time::max();
}

/// Instances that follow one store and send each other updates, and the actual state of the
/// runners.
class test_fleet
{
public:
    test_fleet(int count, unsigned seed) : generator(seed)
    {
        for (int runner = 0; runner < runnerCount; ++runner)
            registerRunner(runner);
        for (std::uint16_t port = 23000; port < 26000 && !isStarted; port += 200)
            start(count, port);
        CPPUNIT_ASSERT(isStarted);
    }

    /// Makes a runner leave: its entry is set to draining or is removed.
    void startLeaving(int runner)
    {
        ++writes;
        isLeaving[runner] = true;
        isRemoved[runner] = generator() % 2 == 0;
        writeEntry(runner);
    }

    /// Restarts a runner with the same id.
    void restart(int runner)
    {
        startTimes[runner] += 1 + static_cast<int>(generator() % 1000);
        registerRunner(runner);
    }

    /// Restores the snapshot of a random earlier round. writeAgain() writes the lost changes again.
    void rollBack() { store.restoreSnapshot(snapshots[generator() % snapshots.size()]); }

    void takeSnapshot() { snapshots.push_back(store.takeSnapshot()); }

    void writeAgain()
    {
        for (int runner = 0; runner < runnerCount; ++runner)
            writeEntry(runner);
    }

    bool doAllMatch() const
    {
        return std::ranges::all_of(instances, [this](const auto &one) {
            for (int runner = 0; runner < runnerCount; ++runner) {
                if (isUsed(*one, runner) == isLeaving[runner])
                    return false;
            }
            return true;
        });
    }

    bool isUsedByAny(int runner) const
    {
        return std::ranges::any_of(instances,
                                   [runner](const auto &one) { return isUsed(*one, runner); });
    }

    /// @returns Whether an instance that starts now avoids the runner, due to the outdated markers
    ///          in the objects of the others.
    bool doesNewInstanceAvoid(int runner) const
    {
        gateway::gateway_settings settings;
        settings.instance.text = "newcomer";
        settings.storeAddress = store.address();
        follower_fixture newInstance(settings);
        if (!succeeded(newInstance.follower.start()))
            return false;
        return waitUntil([&] {
            newInstance.follower.setInstances(listedInstances());
            return newInstance.hasLogged("runners_listed") && !isUsed(newInstance, runner);
        });
    }

    /// @returns The log of an instance that uses the runner.
    std::string logOfOneThatUses(int runner) const
    {
        std::string log;
        for (const auto &one : instances) {
            if (!isUsed(*one, runner))
                continue;
            for (const event &each : one->events.events({}))
                log += lineOf(each) + "\n";
            break;
        }
        return log;
    }

    int randomRunner() { return static_cast<int>(generator() % runnerCount); }

private:
    std::vector<gateway::listed_gateway> listedInstances() const
    {
        std::vector<gateway::listed_gateway> listed;
        for (const auto &one : instances) {
            listed.push_back(one->entry());
            listed.back().outdated = one->follower.markersToPublish();
        }
        return listed;
    }

    void registerRunner(int runner)
    {
        ++writes;
        isLeaving[runner] = false;
        isRemoved[runner] = false;
        writeEntry(runner);
    }

    void writeEntry(int runner)
    {
        if (isRemoved[runner])
            return store.remove(wire::runnerKind, nameOf(runner));
        auto spec = nlohmann::json::parse(
                runnerSpec(isLeaving[runner] ? "draining" : "in_service", writes));
        spec[wire::startedAtMs] = startTimes[runner];
        store.put(wire::runnerKind, nameOf(runner), spec.dump());
    }

    void start(int count, std::uint16_t firstPort)
    {
        instances.clear();
        std::vector<gateway::listed_gateway> listed;
        isStarted = true;
        for (int i = 0; i < count; ++i) {
            gateway::gateway_settings settings;
            settings.instance.text = "edge-" + std::to_string(i);
            settings.zone.text = "a";
            settings.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + 2 * i)};
            settings.sharesStoreUpdates = true;
            settings.storeAddress = store.address();
            instances.push_back(std::make_unique<follower_fixture>(settings));
            isStarted = isStarted && succeeded(instances.back()->follower.start());
            listed.push_back(instances.back()->entry());
        }
        for (const auto &one : instances)
            one->follower.setInstances(listed);
    }

    std::mt19937 generator;
    fake_store store;
    std::vector<fake_store::snapshot> snapshots;
    std::array<bool, runnerCount> isLeaving{};
    std::array<bool, runnerCount> isRemoved{};
    std::array<int, runnerCount> startTimes{};
    int writes = 0; ///< Counted over all runners, so it increases for each of them.
    std::vector<std::unique_ptr<follower_fixture>> instances;
    bool isStarted = false;
};

} // namespace

class store_rollback_stress_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_rollback_stress_test);
    CPPUNIT_TEST(leavingRunnersAreNotUsedAfterRollback);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers sent to a runner that has left. Runners leave with a draining entry
    /// or by its removal. The store is rolled back to snapshots of any age, again before the last
    /// rollback is over; instances detect it at different times and send each other updates
    /// meanwhile, and new ones start. What an instance knew of a leaving runner must hold, new
    /// instances must receive it, and in the end all must match what the runners have written.
    void leavingRunnersAreNotUsedAfterRollback()
    {
        const int seeds = fromEnvironment("POPLARSPOOL_STRESS_SEEDS", defaultSeeds);
        const int count = fromEnvironment("POPLARSPOOL_STRESS_INSTANCES", defaultInstances);
        for (int seed = 1; seed <= seeds; ++seed)
            runSeed(count, static_cast<unsigned>(seed));
    }

private:
    static void runSeed(int count, unsigned seed)
    {
        const std::string name = "seed " + std::to_string(seed);
        test_fleet fleet(count, seed);
        CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllMatch(); }));
        for (int round = 0; round < rounds; ++round) {
            fleet.takeSnapshot();
            const int leaving = fleet.randomRunner();
            fleet.startLeaving(leaving);
            CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllMatch(); }));
            fleet.rollBack();
            assertUnused(fleet, leaving, name);
            CPPUNIT_ASSERT_MESSAGE(name, fleet.doesNewInstanceAvoid(leaving));
            if (round % 2 == 1)
                fleet.rollBack();
            fleet.writeAgain();
            CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllMatch(); }));
            fleet.restart(leaving);
            CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllMatch(); }));
        }
    }

    static void assertUnused(const test_fleet &fleet, int runner, const std::string &name)
    {
        const auto end = std::chrono::steady_clock::now() + observationTime;
        while (std::chrono::steady_clock::now() < end) {
            CPPUNIT_ASSERT_MESSAGE(name + " " + nameOf(runner) + "\n"
                                           + fleet.logOfOneThatUses(runner),
                                   !fleet.isUsedByAny(runner));
            std::this_thread::sleep_for(5ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_rollback_stress_test);

} // namespace poplarspool::adapter
