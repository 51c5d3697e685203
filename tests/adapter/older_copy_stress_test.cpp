#include "adapter/following_instance.h"
#include "adapter/small_store.h"
#include "platform/names.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <random>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::following_instance;
using test::runnerSpec;
using test::small_store;
using test::waitUntil;

/// Seeds in one run, and instances that each has; more of both by POPLARSPOOL_STRESS_SEEDS and
/// POPLARSPOOL_STRESS_INSTANCES.
constexpr int usualSeeds = 1;
constexpr int usualInstances = 3;
constexpr int rounds = 3;
constexpr int runnerCount = 6;
/// Time for which it is watched that nobody uses a runner that was known to leave: two datagrams
/// and a call to the store fit.
constexpr milliseconds watchedTime = 800ms;

int fromEnvironment(const char *name, int usual)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): nobody sets any.
    return text == nullptr ? usual : std::atoi(text); // NOLINT(cert-err34-c): 0 plays nothing.
}

std::string nameOf(int runner)
{
    return "i-" + std::to_string(runner);
}

bool isUsed(const following_instance &one, int runner)
{
    const auto entry = one.find(nameOf(runner));
    return entry && !entry->isDraining && entry->keptUntil == mono_time::max();
}

/// Instances that follow one store and tell each other, and the runners as they really are.
class small_fleet
{
public:
    small_fleet(int count, unsigned seed) : draw(seed)
    {
        for (int runner = 0; runner < runnerCount; ++runner)
            enter(runner);
        for (std::uint16_t port = 23000; port < 26000 && !isStarted; port += 200)
            start(count, port);
        CPPUNIT_ASSERT(isStarted);
    }

    /// A runner leaves: it says so, or is taken away without a word.
    void leave(int runner)
    {
        ++writes;
        isLeaving[runner] = true;
        isSilent[runner] = draw() % 2 == 0;
        tellStoreOf(runner);
    }

    /// It ends, and starts again under its id.
    void restart(int runner)
    {
        born[runner] += 1 + static_cast<int>(draw() % 1000);
        enter(runner);
    }

    /// The store comes back as it was some rounds ago. What was lost is written again later.
    void goBack() { store.goBackTo(copies[draw() % copies.size()]); }

    void copy() { copies.push_back(store.current()); }

    void writeAgain()
    {
        for (int runner = 0; runner < runnerCount; ++runner)
            tellStoreOf(runner);
    }

    bool doAllAgree() const
    {
        return std::ranges::all_of(instances, [this](const auto &one) {
            for (int runner = 0; runner < runnerCount; ++runner) {
                if (isUsed(*one, runner) == isLeaving[runner])
                    return false;
            }
            return true;
        });
    }

    bool doesAnyUse(int runner) const
    {
        return std::ranges::any_of(instances,
                                   [runner](const auto &one) { return isUsed(*one, runner); });
    }

    /// @returns Whether an instance that starts now comes to leave the runner alone, by what the
    ///          others put into their objects.
    bool doesNewcomerLeaveAlone(int runner) const
    {
        gateway::gateway_settings settings;
        settings.instance.text = "newcomer";
        settings.storeAddress = store.at();
        following_instance newcomer(settings);
        if (!succeeded(newcomer.follower.start()))
            return false;
        return waitUntil([&] {
            newcomer.follower.setListed(listedNow());
            return newcomer.hasLogged("runners_listed") && !isUsed(newcomer, runner);
        });
    }

    /// @returns The last lines of an instance that uses the runner.
    std::string linesOfOneThatUses(int runner) const
    {
        std::string lines;
        for (const auto &one : instances) {
            if (!isUsed(*one, runner))
                continue;
            for (const event &each : one->events.events({}))
                lines += lineOf(each) + "\n";
            break;
        }
        return lines;
    }

    int drawRunner() { return static_cast<int>(draw() % runnerCount); }

private:
    std::vector<gateway::listed_gateway> listedNow() const
    {
        std::vector<gateway::listed_gateway> listed;
        for (const auto &one : instances) {
            listed.push_back(one->entry());
            listed.back().outdated = one->follower.marksToTell();
        }
        return listed;
    }

    void enter(int runner)
    {
        ++writes;
        isLeaving[runner] = false;
        isSilent[runner] = false;
        tellStoreOf(runner);
    }

    void tellStoreOf(int runner)
    {
        if (isSilent[runner])
            return store.remove(wire::runnerKind, nameOf(runner));
        auto spec = nlohmann::json::parse(
                runnerSpec(isLeaving[runner] ? "draining" : "in_service", writes));
        spec[wire::startedAtMs] = born[runner];
        store.put(wire::runnerKind, nameOf(runner), spec.dump());
    }

    void start(int count, std::uint16_t firstPort)
    {
        instances.clear();
        std::vector<gateway::listed_gateway> listed;
        isStarted = true;
        for (int i = 0; i < count; ++i) {
            gateway::gateway_settings made;
            made.instance.text = "edge-" + std::to_string(i);
            made.zone.text = "a";
            made.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + 2 * i)};
            made.sharesStoreNews = true;
            made.storeAddress = store.at();
            instances.push_back(std::make_unique<following_instance>(made));
            isStarted = isStarted && succeeded(instances.back()->follower.start());
            listed.push_back(instances.back()->entry());
        }
        for (const auto &one : instances)
            one->follower.setListed(listed);
    }

    std::mt19937 draw;
    small_store store;
    std::vector<small_store::copy> copies;
    std::array<bool, runnerCount> isLeaving{};
    std::array<bool, runnerCount> isSilent{};
    std::array<int, runnerCount> born{};
    int writes = 0; ///< One count for all: it rises for each.
    std::vector<std::unique_ptr<following_instance>> instances;
    bool isStarted = false;
};

} // namespace

class older_copy_stress_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(older_copy_stress_test);
    CPPUNIT_TEST(nobodyUsesARunnerThatWasKnownToLeave);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Callers are sent to a runner that has left. Runners leave with and without a word; the store
    /// goes back to copies of any age, again before the last one is over; instances notice at
    /// different times and tell each other meanwhile; others start. Whatever an instance knew of a
    /// leaving runner must hold, who starts must hear of it, and in the end all must agree with
    /// what the runners have written.
    void nobodyUsesARunnerThatWasKnownToLeave()
    {
        const int seeds = fromEnvironment("POPLARSPOOL_STRESS_SEEDS", usualSeeds);
        const int count = fromEnvironment("POPLARSPOOL_STRESS_INSTANCES", usualInstances);
        for (int seed = 1; seed <= seeds; ++seed)
            playSeed(count, static_cast<unsigned>(seed));
    }

private:
    static void playSeed(int count, unsigned seed)
    {
        const std::string name = "seed " + std::to_string(seed);
        small_fleet fleet(count, seed);
        CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllAgree(); }));
        for (int round = 0; round < rounds; ++round) {
            fleet.copy();
            const int leaving = fleet.drawRunner();
            fleet.leave(leaving);
            CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllAgree(); }));
            fleet.goBack();
            assertUnused(fleet, leaving, name);
            CPPUNIT_ASSERT_MESSAGE(name, fleet.doesNewcomerLeaveAlone(leaving));
            if (round % 2 == 1)
                fleet.goBack();
            fleet.writeAgain();
            CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllAgree(); }));
            fleet.restart(leaving);
            CPPUNIT_ASSERT_MESSAGE(name, waitUntil([&] { return fleet.doAllAgree(); }));
        }
    }

    static void assertUnused(const small_fleet &fleet, int runner, const std::string &name)
    {
        const auto end = std::chrono::steady_clock::now() + watchedTime;
        while (std::chrono::steady_clock::now() < end) {
            CPPUNIT_ASSERT_MESSAGE(name + " " + nameOf(runner) + "\n"
                                           + fleet.linesOfOneThatUses(runner),
                                   !fleet.doesAnyUse(runner));
            std::this_thread::sleep_for(5ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(older_copy_stress_test);

} // namespace poplarspool::adapter
