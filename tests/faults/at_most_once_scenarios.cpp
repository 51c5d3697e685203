#include "faults/caller.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <future>

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 32;
constexpr milliseconds connectTimeout{500};
constexpr milliseconds sendTimeLimit{5000};
/// Time limit of a first attempt, which must outlast its duplicates.
constexpr milliseconds longTimeLimit{60000};

/// Sends single service calls with an idempotency key and records their outcomes.
class key_caller
{
public:
    explicit key_caller(test_fleet &fleet)
        : fleet(fleet), pool(idlePerTarget, connectTimeout, metrics)
    { }

    call_record send(const std::string &key, std::size_t instance,
                     milliseconds limit = sendTimeLimit)
    {
        call_record record = sendAttempt({key, "", 0, limit}, fleet.callerAddress(instance), pool);
        const std::lock_guard lock(mutex);
        calls.push_back(record);
        return record;
    }
    std::future<call_record> begin(const std::string &key, std::size_t instance)
    {
        return std::async(std::launch::async,
                          [this, key, instance] { return send(key, instance, longTimeLimit); });
    }
    void waitForRun(const std::string &key)
    {
        waitUntil(key + " is running", [&] { return fleet.serviceRuns().count(key) != 0; });
    }
    outcome_counts count() { return countOutcomes(fleet, calls, disruption::Failures); }

private:
    test_fleet &fleet;
    metrics_registry metrics;
    http_pool pool;
    std::mutex mutex;
    std::vector<call_record> calls;
};

void expectOutcome(const call_record &call, call_outcome wanted, const std::string &what)
{
    expect(call.outcome == wanted, what + ": " + call.detail);
}

// A call with the same key is sent through three instances at the same time. One of them runs it,
// and all return the same answer.
outcome_counts sameKeyThreeInstances(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    key_caller caller(fleet);
    for (int turn = 0; turn < 30; ++turn) {
        const std::string key = "slot-" + std::to_string(turn);
        std::vector<std::future<call_record>> sent;
        for (std::size_t instance : {0, 1, 2})
            sent.push_back(caller.begin(key, instance));
        std::set<std::string> bodies;
        for (auto &each : sent) {
            const call_record record = each.get();
            expectOutcome(record, call_outcome::Whole, "a duplicate gets the first answer");
            bodies.insert(record.body);
        }
        expect(bodies.size() == 1, "all duplicates get the same answer");
    }
    return caller.count();
}

// The instance that owns the claim is killed while the service runs the call. When the caller
// repeats the call through another instance, the answer is "may have run": the claim in the store
// outlives its owner.
outcome_counts ownerKilledAfterDispatch(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.serviceWorkMs = 1500;
    test_fleet fleet(environment, spec);
    key_caller caller(fleet);
    for (std::size_t owner : {0, 1}) {
        const std::string key = "truck-" + std::to_string(owner);
        auto first = caller.begin(key, owner);
        caller.waitForRun(key);
        fleet.killInstance(owner);
        expectOutcome(first.get(), call_outcome::MayHaveRun, "the first attempt is interrupted");
        expectOutcome(caller.send(key, 2), call_outcome::MayHaveRun,
                      "the repeated call is not run again");
    }
    return caller.count();
}

// The store loses the answers to claim writes that took effect, and in every second call the
// service dies after the run. Neither the instance nor the caller then knows whether the call ran,
// and it must not be run again. The caller gets the answer, or "may have run".
outcome_counts lostClaimAnswerServiceDies(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    key_caller caller(fleet);
    for (std::size_t turn = 0; turn < 6; ++turn) {
        const std::string key = "demand-" + std::to_string(turn);
        fleet.injectPlatformFault({{"mode", "lose_answers"}, {"count", 1}});
        if (turn % 2 == 0)
            fleet.injectServiceFault({{"mode", "die_after_run"}, {"count", 1}});
        const call_record first = caller.send(key, turn % 3);
        expectOutcome(first, turn % 2 == 0 ? call_outcome::MayHaveRun : call_outcome::Whole,
                      "the first attempt");
        const call_record second = caller.send(key, (turn + 1) % 3);
        expectOutcome(second, first.outcome, "its duplicate has the same outcome");
    }
    return caller.count();
}

// The instance that owns the claim is frozen while the service runs the call, and the store loses
// answers. Duplicates sent through the other instances get "may have run". Once unfrozen, the owner
// returns the first answer, also to duplicates sent through other instances.
outcome_counts ownerFrozenLostAnswers(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.serviceWorkMs = 500;
    test_fleet fleet(environment, spec);
    key_caller caller(fleet);
    const std::string key = "plea";
    auto first = caller.begin(key, 0);
    caller.waitForRun(key);
    fleet.instance(0).freeze();
    fleet.injectPlatformFault({{"mode", "lose_answers"}, {"count", 2}});
    for (std::size_t instance : {1, 2})
        expectOutcome(caller.send(key, instance), call_outcome::MayHaveRun,
                      "a duplicate while the owner is frozen");
    fleet.instance(0).unfreeze();
    expectOutcome(first.get(), call_outcome::Whole, "the first attempt completes");
    waitUntil("the owner is back", [&] { return fleet.stateOf(0, 1) == "alive"; });
    expectOutcome(caller.send(key, 1), call_outcome::Whole, "a duplicate gets the owner's answer");
    return caller.count();
}

// Calls are repeated after every instance has been replaced, so that no instance has them in
// memory. Since their claims are still in the store, the answer is "may have run".
outcome_counts claimsOutliveInstances(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    key_caller caller(fleet);
    for (std::size_t turn = 0; turn < 12; ++turn)
        expectOutcome(caller.send("order-" + std::to_string(turn), turn % 3), call_outcome::Whole,
                      "the first attempt");
    for (std::size_t replaced : {0, 1, 2}) {
        const std::size_t added = fleet.addInstance();
        waitUntil("the new instance is up", [&] {
            const auto seen = fleet.status(added);
            return seen.is_object() && seen.value("fresh", false);
        });
        fleet.killInstance(replaced);
    }
    for (std::size_t turn = 0; turn < 12; ++turn)
        expectOutcome(caller.send("order-" + std::to_string(turn), 3 + turn % 3),
                      call_outcome::MayHaveRun, "the second attempt");
    return caller.count();
}

} // namespace

std::vector<scenario> atMostOnceScenarios()
{
    return {{"same_key_three_instances", 6, 1, sameKeyThreeInstances},
            {"owner_killed_after_dispatch", 6, 1, ownerKilledAfterDispatch},
            {"lost_claim_answer_service_dies", 6, 2, lostClaimAnswerServiceDies},
            {"owner_frozen_lost_answers", 6, 2, ownerFrozenLostAnswers},
            {"claims_outlive_instances", 6, 1, claimsOutliveInstances}};
}

} // namespace poplarspool::faults
