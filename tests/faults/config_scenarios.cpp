#include "faults/load.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

namespace poplarspool::faults {

namespace {

std::uint64_t acceptedOn(fleet &site, std::size_t index)
{
    return site.status(index).at("accepted_version").get<std::uint64_t>();
}

/// Lets two operators send different changes on top of the same version at the same moment.
/// @returns The version of the one that was accepted; 0 where neither was.
std::uint64_t raceOnce(fleet &site, std::uint64_t present)
{
    const auto change = [&](std::size_t index) {
        return std::async(std::launch::async, [&site, index, present] {
            return site.apply(index, {.draining = {index}}, "", present);
        });
    };
    auto one = change(0);
    auto two = change(1);
    std::uint64_t accepted = 0;
    for (const change_answer &answer : {one.get(), two.get()}) {
        expect(answer.version == 0 || accepted == 0, "one change replaces one version");
        expect(answer.version != 0 || answer.verdict == "not_run", answer.detail);
        accepted = std::max(accepted, answer.version);
    }
    return accepted;
}

// Callers see nothing. Two operators send different changes at the same moment, through different
// instances, both on top of the same version: one is accepted and in force everywhere, the other
// hears truly that nothing of it was done. Where an instance has used up its calls to the store,
// both may hear so, and come back.
tally operatorsRace(const stage &place)
{
    fleet site(place, {});
    load work(site, {});
    for (int turn = 0; turn < 8; ++turn) {
        const std::uint64_t present = acceptedOn(site, 0);
        std::uint64_t accepted = 0;
        waitUntil("one is accepted", [&] {
            accepted = raceOnce(site, present);
            // As docs/OPERATING.md says: they come back after a second, with new calls to spend.
            if (accepted == 0)
                std::this_thread::sleep_for(std::chrono::seconds(1));
            return accepted != 0;
        });
        site.waitInForce(accepted);
    }
    work.waitForWhole(10);
    return countOf(site, work.stop(), disturbance::Planned);
}

// The operator hears nothing, or that it is not known: the store loses the answers of the writes
// that accept the change. The very same change sent again, through another instance, is told as
// accepted under the version that it has, and is not applied twice.
tally acceptanceAnswerLost(const stage &place)
{
    fleet site(place, {});
    load work(site, {.serviceEvery = 0});
    for (const std::string version : {"2", "3"}) {
        const std::uint64_t present = acceptedOn(site, 0);
        const config_choice choice{version, "mixed", {}};
        site.platformFault({{"mode", "lose_answers"}, {"count", 4}});
        const change_answer first = site.apply(0, choice, "change-" + version, present);
        const change_answer second = site.apply(1, choice, "change-" + version, present);
        const change_answer third = site.apply(2, choice, "change-" + version, present);
        expect(third.version != 0 && second.version == third.version, "it is accepted");
        expect(first.version == 0 || first.version == third.version, "it is accepted once");
        site.waitInForce(third.version);
    }
    work.waitForWhole(10);
    return countOf(site, work.stop(), disturbance::Planned);
}

// Callers see nothing but the killed instance. A change has been accepted, then the store goes out
// and an instance starts anew: it takes the accepted configuration from the others and neither
// shows nor spreads an older one.
tally instanceRestartsStoreDown(const stage &place)
{
    fleet site(place, {});
    load work(site, {});
    const std::uint64_t version = site.applyEverywhere({.draining = {1}});
    site.platformFault({{"mode", "outage"}});
    for (std::size_t index : {2, 0}) {
        site.restartInstance(index);
        site.waitInForce(version);
    }
    const std::uint64_t started = site.startedOn(1);
    work.waitForWhole(30);
    expect(site.startedOn(1) == started, "the drained engine stays drained");
    site.platformFault({{"mode", "none"}});
    work.waitForWhole(10);
    site.waitInForce(version);
    return countOf(site, work.stop(), disturbance::Failures);
}

// Callers see nothing. An instance is cut off from the store, and its watch is lost, while three
// changes are accepted elsewhere, with answers lost: gossip brings them, each in force on it as on
// the others; back at the store it does not fall behind them.
tally cutOffInstanceLearnsFromOthers(const stage &place)
{
    fleet_spec spec;
    spec.isGated = true;
    fleet site(place, spec);
    load work(site, {});
    site.gate(2).setClosed(true);
    std::uint64_t version = 0;
    for (const config_choice &choice :
         {config_choice{"1", "mixed", {0}}, {"1", "mixed", {1}}, {"1", "mixed", {}}}) {
        site.platformFault({{"mode", "lose_answers"}, {"count", 2}});
        version = site.applyEverywhere(choice);
    }
    site.gate(2).setClosed(false);
    work.waitForWhole(20);
    site.waitInForce(version);
    return countOf(site, work.stop(), disturbance::Failures);
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
