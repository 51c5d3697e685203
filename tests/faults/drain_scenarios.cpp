#include "faults/load_generator.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"
#include "poplarspool/node/limits.h"

#include <chrono>
#include <future>

namespace poplarspool::faults {

namespace {

constexpr milliseconds connectTimeout{500};

/// Shuts down an instance as the platform does: marks it as leaving in the instance list, then
/// sends SIGTERM. Removes it from the list when it has ended.
void shutDown(test_fleet &fleet, std::size_t index)
{
    fleet.addToInstanceList(index, true);
    fleet.instance(index).terminate();
    const std::optional<int> status = fleet.instance(index).waitForExit();
    expect(status == 0, "a graceful shutdown ends with status 0");
    fleet.removeFromInstanceList(index);
}

// An engine is drained through the inventory while the instance list is 2 minutes outdated. Once
// the change is in force, the engine starts no further request under load. Callers notice nothing.
outcome_counts drainedEngineListLagging(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    load.waitForWholeAnswers(20);
    fleet.setInstanceListLag(120000);
    fleet.applyAndWait({.draining = {0}});
    const std::uint64_t before = fleet.startedRequests(0);
    load.waitForWholeAnswers(80);
    expect(fleet.startedRequests(0) == before, "the leaving engine gets nothing new");
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

/// Calls to a frozen instance, which wait in its sockets.
class pending_calls
{
public:
    explicit pending_calls(const endpoint &to) : pool(count, connectTimeout, metrics)
    {
        for (std::size_t turn = 0; turn < count; ++turn)
            sent.push_back(std::async(std::launch::async, [this, to, turn] {
                const std::string prompt = "waiting " + std::to_string(turn);
                return sendAttempt({"", prompt, 5, waitTime}, to, pool);
            }));
    }

    std::vector<call_record> collect()
    {
        std::vector<call_record> calls;
        calls.reserve(count);
        for (auto &each : sent)
            calls.push_back(each.get());
        return calls;
    }

private:
    static constexpr std::size_t count = 24;
    static constexpr milliseconds waitTime{60000};

    metrics_registry metrics;
    http_pool pool;
    std::vector<std::future<call_record>> sent; ///< Declared last: the threads use the pool.
};

// An instance is frozen during the drain of an engine. When unfrozen it still has the old view, and
// requests wait in its sockets. Since it can't confirm the old view, it refuses them, and sends
// nothing to the drained engine before it has the new view.
outcome_counts frozenInstanceWakesAfterDrain(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    load.waitForWholeAnswers(20);
    fleet.instance(2).freeze();
    const auto frozenAt = std::chrono::steady_clock::now();
    pending_calls pending(fleet.callerAddress(2));
    fleet.setInstanceListLag(120000);
    const change_result drained = fleet.apply(0, {.draining = {0}});
    expect(drained.version != 0, "the drain is accepted");
    fleet.waitInForce(drained.version, {2});
    waitUntil("the frozen instance's view is no longer fresh",
              [&] { return std::chrono::steady_clock::now() - frozenAt > config::maxFreshAge; });
    const std::uint64_t before = fleet.startedRequests(0);
    fleet.instance(2).unfreeze();
    std::vector<call_record> calls = pending.collect();
    fleet.waitInForce(drained.version);
    load.waitForWholeAnswers(40);
    expect(fleet.startedRequests(0) == before, "the leaving engine gets nothing new");
    const std::vector<call_record> others = load.stop();
    calls.insert(calls.end(), others.begin(), others.end());
    return countOutcomes(fleet, calls, disruption::Failures);
}

// An instance gets SIGTERM while streams and service calls run through it. It continues to serve
// while callers may still have its address, and ends after its last stream. Callers notice nothing.
outcome_counts shutdownUnderStreams(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {.tokens = 200});
    load.waitForWholeAnswers(10);
    shutDown(fleet, 1);
    load.waitForWholeAnswers(20);
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

// As above, during a store outage. An instance must be able to shut down without the store and
// without dropping its streams. Service calls are refused as not run during the outage.
outcome_counts shutdownStoreDown(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {.tokens = 200});
    load.waitForWholeAnswers(10);
    fleet.injectPlatformFault({{"mode", "outage"}});
    shutDown(fleet, 1);
    load.waitForWholeAnswers(10);
    fleet.injectPlatformFault({{"mode", "none"}});
    load.waitForWholeAnswers(10);
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

// Every instance is replaced, one at a time: a new one starts, then the old one is shut down.
// Callers notice nothing.
outcome_counts allInstancesReplaced(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    load.waitForWholeAnswers(10);
    const auto version = fleet.status(0).at("accepted_version").get<std::uint64_t>();
    for (std::size_t replaced : {0, 1, 2}) {
        fleet.addInstance();
        fleet.waitInForce(version);
        shutDown(fleet, replaced);
        load.waitForWholeAnswers(10);
    }
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

} // namespace

std::vector<scenario> drainScenarios()
{
    return {{"drained_engine_list_lagging", 7, 1, drainedEngineListLagging},
            {"frozen_instance_wakes_after_drain", 7, 2, frozenInstanceWakesAfterDrain},
            {"shutdown_under_streams", 8, 1, shutdownUnderStreams},
            {"shutdown_store_down", 8, 2, shutdownStoreDown},
            {"all_instances_replaced", 8, 1, allInstancesReplaced}};
}

} // namespace poplarspool::faults
