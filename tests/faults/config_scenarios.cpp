#include "faults/load_generator.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

namespace poplarspool::faults {

namespace {

std::uint64_t acceptedVersion(test_fleet &fleet, std::size_t index)
{
    return fleet.status(index).at("accepted_version").get<std::uint64_t>();
}

/// Sends two different changes based on the same version through two instances at the same time.
/// @returns The version of the accepted change; 0 if neither was accepted.
/// @throws expectation_failed If both were accepted, or a refusal is not "not run".
std::uint64_t raceChanges(test_fleet &fleet, std::uint64_t currentVersion)
{
    const auto change = [&](std::size_t index) {
        return std::async(std::launch::async, [&fleet, index, currentVersion] {
            return fleet.apply(index, {.draining = {index}}, "", currentVersion);
        });
    };
    auto one = change(0);
    auto two = change(1);
    std::uint64_t accepted = 0;
    for (const change_result &answer : {one.get(), two.get()}) {
        expect(answer.version == 0 || accepted == 0,
               "only one change based on a version is accepted");
        expect(answer.version != 0 || answer.verdict == "not_run", answer.detail);
        accepted = std::max(accepted, answer.version);
    }
    return accepted;
}

// Two operators send different changes, both based on the same version, through different instances
// at the same time. One change is accepted and in force everywhere; the other is refused as not
// run, and none of it is applied. Both may be refused if an instance has used up its budget of
// store calls; the operators then retry. Callers notice nothing.
outcome_counts operatorsRace(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    for (int turn = 0; turn < 8; ++turn) {
        const std::uint64_t currentVersion = acceptedVersion(fleet, 0);
        std::uint64_t accepted = 0;
        waitUntil("one of the changes is accepted", [&] {
            accepted = raceChanges(fleet, currentVersion);
            // Operators retry after 1 s, when store calls are available again (docs/OPERATING.md).
            if (accepted == 0)
                std::this_thread::sleep_for(std::chrono::seconds(1));
            return accepted != 0;
        });
        fleet.waitInForce(accepted);
    }
    load.waitForWholeAnswers(10);
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

// The store loses the answers to the writes that accept a change, so the operator gets no answer or
// "may have run". When the identical change is sent again through another instance, it is reported
// as accepted under its existing version and not applied a second time.
outcome_counts acceptanceAnswerLost(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {.serviceEvery = 0});
    for (const std::string version : {"2", "3"}) {
        const std::uint64_t currentVersion = acceptedVersion(fleet, 0);
        const config_variant variant{version, "mixed", {}};
        fleet.injectPlatformFault({{"mode", "lose_answers"}, {"count", 4}});
        const change_result first = fleet.apply(0, variant, "change-" + version, currentVersion);
        const change_result second = fleet.apply(1, variant, "change-" + version, currentVersion);
        const change_result third = fleet.apply(2, variant, "change-" + version, currentVersion);
        expect(third.version != 0 && second.version == third.version,
               "the repeated change is accepted under one version");
        expect(first.version == 0 || first.version == third.version,
               "the change is not accepted under two versions");
        fleet.waitInForce(third.version);
    }
    load.waitForWholeAnswers(10);
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

// A change has been accepted; then the store fails and an instance is killed and restarted. It gets
// the accepted configuration from the other instances, and neither uses nor spreads an older one.
// Callers notice only the killed instance.
outcome_counts instanceRestartsStoreDown(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    const std::uint64_t version = fleet.applyAndWait({.draining = {1}});
    fleet.injectPlatformFault({{"mode", "outage"}});
    for (std::size_t index : {2, 0}) {
        fleet.restartInstance(index);
        fleet.waitInForce(version);
    }
    const std::uint64_t started = fleet.startedRequests(1);
    load.waitForWholeAnswers(30);
    expect(fleet.startedRequests(1) == started, "the drained engine stays drained");
    fleet.injectPlatformFault({{"mode", "none"}});
    load.waitForWholeAnswers(10);
    fleet.waitInForce(version);
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

// An instance loses its connection to the store, and with it its watch, while three changes are
// accepted through other instances and the store loses answers. The instance receives each change
// by gossip and puts it in force like the others do. It does not fall back when the store is
// reachable again. Callers notice nothing.
outcome_counts cutOffInstanceLearnsFromOthers(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.hasStoreProxies = true;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    fleet.storeProxy(2).setBlocked(true);
    std::uint64_t version = 0;
    for (const config_variant &variant :
         {config_variant{"1", "mixed", {0}}, {"1", "mixed", {1}}, {"1", "mixed", {}}}) {
        fleet.injectPlatformFault({{"mode", "lose_answers"}, {"count", 2}});
        version = fleet.applyAndWait(variant);
    }
    fleet.storeProxy(2).setBlocked(false);
    load.waitForWholeAnswers(20);
    fleet.waitInForce(version);
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

} // namespace

std::vector<scenario> configScenarios()
{
    return {{"operators_race", 9, 1, operatorsRace},
            {"acceptance_answer_lost", 9, 1, acceptanceAnswerLost},
            {"instance_restarts_store_down", 9, 2, instanceRestartsStoreDown},
            {"cut_off_instance_learns_from_others", 9, 2, cutOffInstanceLearnsFromOthers}};
}

} // namespace poplarspool::faults
