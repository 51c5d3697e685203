#include "faults/caller.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <future>

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 32;
constexpr milliseconds connectTime{500};
constexpr milliseconds sendTime{5000};
/// Of a first try that has to outlast its duplicates.
constexpr milliseconds beginTime{60000};

/// Sends keyed calls one by one and keeps what came of them.
class key_caller
{
public:
    explicit key_caller(fleet &site) : site(site), pool(idlePerTarget, connectTime, metrics) { }

    call_record send(const std::string &key, std::size_t instance, milliseconds limit = sendTime)
    {
        call_record record = tryCall({key, "", 0, limit}, site.callerAddress(instance), pool);
        const std::lock_guard lock(mutex);
        calls.push_back(record);
        return record;
    }
    std::future<call_record> begin(const std::string &key, std::size_t instance)
    {
        return std::async(std::launch::async,
                          [this, key, instance] { return send(key, instance, beginTime); });
    }
    void waitForRun(const std::string &key)
    {
        waitUntil(key + " is running", [&] { return site.serviceRuns().count(key) != 0; });
    }
    tally count() { return countOf(site, calls, disturbance::Failures); }

private:
    fleet &site;
    metrics_registry metrics;
    http_pool pool;
    std::mutex mutex;
    std::vector<call_record> calls;
};

void expectEnd(const call_record &call, call_end wanted, const std::string &what)
{
    expect(call.end == wanted, what + ": " + call.detail);
}

// A caller that has no answer yet sends again through other instances, all at the same moment. One
// of them runs it, and all get its answer.
tally sameKeyThreeInstances(const stage &place)
{
    fleet site(place, {});
    key_caller caller(site);
    for (int turn = 0; turn < 30; ++turn) {
        const std::string key = "slot-" + std::to_string(turn);
        std::vector<std::future<call_record>> sent;
        for (std::size_t instance : {0, 1, 2})
            sent.push_back(caller.begin(key, instance));
        std::set<std::string> bodies;
        for (auto &each : sent) {
            const call_record record = each.get();
            expectEnd(record, call_end::Whole, "a duplicate gets the first answer");
            bodies.insert(record.body);
        }
        expect(bodies.size() == 1, "all get the same answer");
    }
    return caller.count();
}

// The caller's instance is killed while the service works on the order. The caller sends again
// elsewhere and hears that it may have run: the claim in the store outlives its owner.
tally ownerKilledAfterDispatch(const stage &place)
{
    fleet_spec spec;
    spec.serviceWorkMs = 1500;
    fleet site(place, spec);
    key_caller caller(site);
    for (std::size_t owner : {0, 1}) {
        const std::string key = "truck-" + std::to_string(owner);
        auto first = caller.begin(key, owner);
        caller.waitForRun(key);
        site.killInstance(owner);
        expectEnd(first.get(), call_end::MayHaveRun, "the first try is broken off");
        expectEnd(caller.send(key, 2), call_end::MayHaveRun, "the second is not run again");
    }
    return caller.count();
}

// The caller sees its answer, or "may have run". The store loses the answers of claims that took
// effect, and the service dies after the run: neither the instance nor the caller knows what was
// done, and nobody may find out by running it again.
tally lostClaimAnswerServiceDies(const stage &place)
{
    fleet site(place, {});
    key_caller caller(site);
    for (std::size_t turn = 0; turn < 6; ++turn) {
        const std::string key = "demand-" + std::to_string(turn);
        site.platformFault({{"mode", "lose_answers"}, {"count", 1}});
        if (turn % 2 == 0)
            site.serviceFault({{"mode", "die_after_run"}, {"count", 1}});
        const call_record first = caller.send(key, turn % 3);
        expectEnd(first, turn % 2 == 0 ? call_end::MayHaveRun : call_end::Whole, "the first try");
        const call_record second = caller.send(key, (turn + 1) % 3);
        expectEnd(second, first.end, "its duplicate");
    }
    return caller.count();
}

// The owner is frozen while the service works, and the store loses answers. Duplicates through the
// others hear that it may have run. Woken, the owner hands out the first answer.
tally ownerFrozenLostAnswers(const stage &place)
{
    fleet_spec spec;
    spec.serviceWorkMs = 500;
    fleet site(place, spec);
    key_caller caller(site);
    const std::string key = "plea";
    auto first = caller.begin(key, 0);
    caller.waitForRun(key);
    site.instance(0).freeze();
    site.platformFault({{"mode", "lose_answers"}, {"count", 2}});
    for (std::size_t instance : {1, 2})
        expectEnd(caller.send(key, instance), call_end::MayHaveRun, "a duplicate of a lost owner");
    site.instance(0).wake();
    expectEnd(first.get(), call_end::Whole, "the first try ends after all");
    waitUntil("the owner is back", [&] { return site.stateOf(0, 1) == "alive"; });
    expectEnd(caller.send(key, 1), call_end::Whole, "its answer is handed on");
    return caller.count();
}

// Callers send again after a long time. Meanwhile every instance has been replaced, so that none
// remembers anything: the claims in the store say that it may have run.
tally claimsOutliveInstances(const stage &place)
{
    fleet site(place, {});
    key_caller caller(site);
    for (std::size_t turn = 0; turn < 12; ++turn)
        expectEnd(caller.send("order-" + std::to_string(turn), turn % 3), call_end::Whole,
                  "the first try");
    for (std::size_t old : {0, 1, 2}) {
        const std::size_t added = site.addInstance();
        waitUntil("the new instance is up", [&] {
            const auto seen = site.status(added);
            return seen.is_object() && seen.value("fresh", false);
        });
        site.killInstance(old);
    }
    for (std::size_t turn = 0; turn < 12; ++turn)
        expectEnd(caller.send("order-" + std::to_string(turn), 3 + turn % 3), call_end::MayHaveRun,
                  "the second try");
    return caller.count();
}

} // namespace

std::vector<scenario> onceScenarios()
{
    return {{"same_key_three_instances", 6, 1, sameKeyThreeInstances},
            {"owner_killed_after_dispatch", 6, 1, ownerKilledAfterDispatch},
            {"lost_claim_answer_service_dies", 6, 2, lostClaimAnswerServiceDies},
            {"owner_frozen_lost_answers", 6, 2, ownerFrozenLostAnswers},
            {"claims_outlive_instances", 6, 1, claimsOutliveInstances}};
}

} // namespace poplarspool::faults
