#include "gateway/take_up_proof.h"

#include "poplarspool/gateway/catalogue_updater.h"
#include "poplarspool/streams/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <set>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

const service_id engineService{"s"};
constexpr milliseconds timeLimit = 2s;
constexpr milliseconds settleTime = 3s;
constexpr milliseconds step = 10ms;
constexpr int stepsOfOneSeed = 6000;
constexpr int runnerCount = 6;
/// Environment variable with the number of seeds.
constexpr char seedsVariable[] = "POPLARSPOOL_SEEDS";
constexpr int standardSeeds = 300;

int seedCount()
{
    const char *text = std::getenv(seedsVariable); // NOLINT(concurrency-mt-unsafe): no setenv().
    return text == nullptr ? standardSeeds : std::atoi(text); // NOLINT(cert-err34-c)
}

/// A change of a runner in the store.
struct listed_change
{
    mono_time at{};
    runner_change change;
};

struct begun_stream
{
    mono_time begunAt{};
    version_key version = 0;
    runner_id runner;
};

struct take_up_counts
{
    int proven = 0;
    int refused = 0;
};

/// The store, an instance in step at which streams begin, and one that gets the store's changes and
/// confirmations late, in batches, by relays, or for some time not at all. A confirmation is as of
/// some time before it arrives.
class release_history
{
public:
    explicit release_history(unsigned seed) : generator(seed)
    {
        for (int i = 0; i < runnerCount; ++i)
            join("r" + std::to_string(i), "v1");
        updater.setRunners(listedRunners());
        updater.confirmRunners(now, {});
        applied = changes.size();
    }

    take_up_counts run()
    {
        for (int i = 0; i < stepsOfOneSeed; ++i) {
            now += step;
            if (draw(100) == 0)
                changeRunners();
            if (draw(20) == 0)
                begin();
            deliver();
            if (draw(40) == 0 && !begun.empty())
                takeUp();
            decide();
        }
        return counts;
    }

private:
    struct waiting_take_up
    {
        unrecorded_take_up takeUp;
        begun_stream stream;
        /// Runners that stood in the store's list when it came, of other versions than the
        /// stream's.
        bool isRunnerListed = false;
    };

    unsigned draw(unsigned count) { return static_cast<unsigned>(generator() % count); }

    void join(const std::string &id, const std::string &version)
    {
        runner made;
        made.id.text = id;
        made.service = engineService;
        made.version = {version};
        listed[id] = made;
        joinedAt[id] = now;
        changes.push_back({now, {made.id, made}});
    }

    std::vector<runner> listedRunners() const
    {
        std::vector<runner> all;
        for (const auto &entry : listed)
            all.push_back(entry.second);
        return all;
    }

    /// Replaces a runner, mostly by one of the version that the release goes to.
    void changeRunners()
    {
        if (draw(40) == 0)
            newVersion = "v" + std::to_string(1 + draw(3));
        const std::string version = draw(40) == 0 ? "v" + std::to_string(1 + draw(3)) : newVersion;
        if (draw(2) == 0 && listed.size() < 2 * runnerCount)
            return join("n" + std::to_string(++joined), version);
        auto leaving = listed.begin();
        std::advance(leaving, draw(static_cast<unsigned>(listed.size())));
        // A runner stays listed for longer than the time after which an instance notices that it
        // has no news.
        if (listed.size() < 2 || now - joinedAt.at(leaving->first) < config::maxUnseenRunnerTime)
            return;
        changes.push_back({now, {{leaving->first}, std::nullopt}});
        listed.erase(leaving);
    }

    void begin()
    {
        auto chosen = listed.begin();
        std::advance(chosen, draw(static_cast<unsigned>(listed.size())));
        begun.push_back({now, versionKeyOf(chosen->second.version), chosen->second.id});
    }

    /// The instance gets the changes until some time ago, and the confirmation of that time.
    void deliver()
    {
        if (now < nextDeliveryAt)
            return;
        const mono_time asOf = std::max(now - milliseconds(draw(400)), lastAsOf);
        lastAsOf = asOf;
        nextDeliveryAt = now + milliseconds(draw(40) == 0 ? 1000 + draw(9000) : 50 + draw(1000));
        std::vector<runner_change> batch;
        for (; applied < changes.size() && changes[applied].at <= asOf; ++applied)
            batch.push_back(changes[applied].change);
        updater.applyChanges(batch);
        updater.confirmRunners(asOf, {});
    }

    void takeUp()
    {
        const begun_stream &stream =
                begun[begun.size() - 1
                      - draw(std::min<unsigned>(static_cast<unsigned>(begun.size()), 30))];
        if (now - stream.begunAt > 2 * timeLimit + config::originMargin)
            return;
        const bool isNamed = draw(2) == 0;
        waiting.push_back({{engineService, now, isNamed, timeLimit},
                           stream,
                           listed.contains(stream.runner.text)});
    }

    void decide()
    {
        std::erase_if(waiting, [this](const waiting_take_up &one) {
            const version_proof proof = proveVersion(one.takeUp, *publisher.current());
            const bool isLate = now - one.takeUp.arrivedAt >= config::takeUpProofTimeout;
            if (proof.end == proof_end::Unconfirmed && !isLate)
                return false;
            if (proof.end != proof_end::Proven) {
                ++counts.refused;
                return true;
            }
            ++counts.proven;
            // Without a name, only the runners that are left decide.
            if (one.takeUp.isNamed || one.isRunnerListed)
                CPPUNIT_ASSERT_EQUAL(one.stream.version, proof.version);
            return true;
        });
    }

    std::mt19937 generator;
    mono_time now{1h};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, clock, 16};
    catalogue_publisher publisher{catalogue{}};
    catalogue_updater updater{publisher,
                              settleTime,
                              clock,
                              events,
                              [](const runner &) { return false; },
                              [](const route_table &) {}};
    std::map<std::string, runner> listed; ///< The store's list, by id.
    std::map<std::string, mono_time> joinedAt;
    std::vector<listed_change> changes;
    std::vector<begun_stream> begun;
    std::vector<waiting_take_up> waiting;
    std::size_t applied = 0; ///< Changes that the instance has got.
    std::string newVersion = "v1";
    int joined = 0;
    mono_time nextDeliveryAt{};
    mono_time lastAsOf{};
    take_up_counts counts;
};

} // namespace

class take_up_proof_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(take_up_proof_test);
    CPPUNIT_TEST(noTakeUpGoesToAVersionThatMayNotHaveBegunIt);
    CPPUNIT_TEST(runnersThatCameAndWentUnseenEndTheProof);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against take-ups that go on at another version at an instance that is out of step.
    void noTakeUpGoesToAVersionThatMayNotHaveBegunIt()
    {
        take_up_counts all;
        for (int seed = 1; seed <= seedCount(); ++seed) {
            try {
                const take_up_counts counts = release_history(static_cast<unsigned>(seed)).run();
                all.proven += counts.proven;
                all.refused += counts.refused;
            } catch (const CppUnit::Exception &failure) {
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + failure.what());
            }
        }
        std::cout << all.proven << " take-ups were proven, " << all.refused << " were refused\n";
        // Otherwise the histories show nothing.
        CPPUNIT_ASSERT(all.proven > all.refused / 10);
        CPPUNIT_ASSERT(all.refused > all.proven / 10);
    }

    /// Guards against streams of runners that have joined and left while an instance was cut off:
    /// they are in no list and in no change that it gets afterwards.
    void runnersThatCameAndWentUnseenEndTheProof()
    {
        mono_time now{1h};
        const clock_source clock{[&now] { return now; }, [] { return wall_time{}; }};
        journal events{{"test"}, clock, 16};
        catalogue_publisher publisher{catalogue{}};
        catalogue_updater updater(
                publisher, settleTime, clock, events, [](const runner &) { return false; },
                [](const route_table &) {});
        runner only;
        only.id.text = "a";
        only.service = engineService;
        updater.setRunners({only});
        updater.confirmRunners(now, {});
        const auto endAfter = [&](milliseconds time) {
            now += time;
            const unrecorded_take_up takeUp{engineService, now, true, timeLimit};
            updater.confirmRunners(now, {});
            return proveVersion(takeUp, *publisher.current()).end;
        };
        for (int i = 0; i < 9; ++i)
            endAfter(config::maxUnseenRunnerTime);
        CPPUNIT_ASSERT(endAfter(1s) == proof_end::Proven);
        CPPUNIT_ASSERT(endAfter(config::maxUnseenRunnerTime + 1ms) == proof_end::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(take_up_proof_test);

} // namespace poplarspool::gateway
