#include "faults/load_generator.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

namespace poplarspool::faults {

using nlohmann::json;

namespace {

std::size_t engineChangeCount(test_fleet &fleet, std::size_t engine)
{
    return fleet.engineRecords(engine).at("changes").get<std::size_t>();
}

std::size_t orderCount(test_fleet &fleet, std::size_t engine)
{
    return fleet.engineRecords(engine).at("orders").size();
}

// All engines change their version and then their role, one after the other, while all of them
// serve streams. An engine that executes an order cuts the streams on it, so the streams of every
// instance must have been drained from it before. Callers notice nothing.
outcome_counts rolesChangeUnderStreams(const scenario_environment &environment)
{
    fleet_spec spec;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    std::size_t done = 0;
    for (const config_variant &variant : {config_variant{"2", "mixed", {}}, {"2", "decode", {}}}) {
        fleet.applyAndWait(variant);
        ++done;
        for (std::size_t index = 0; index < spec.engines; ++index)
            waitUntil("an engine has completed the change",
                      [&] { return engineChangeCount(fleet, index) >= done; });
    }
    load.waitForWholeAnswers(20);
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

// Operators drain an engine through the inventory, remove it once idle, start another in its place
// and end the drain, while streams run. Callers notice nothing.
outcome_counts engineReplacedUnderLoad(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    fleet.applyAndWait({.draining = {0}});
    waitUntil("the drained engine is idle", [&] {
        const json records = fleet.engineRecords(0);
        return records.at("started") == records.at("finished");
    });
    fleet.killEngine(0);
    load.waitForWholeAnswers(20);
    fleet.restartEngine(0);
    fleet.applyAndWait({});
    waitUntil("the new engine serves requests", [&] { return fleet.startedRequests(0) > 0; });
    load.waitForWholeAnswers(20);
    return countOutcomes(fleet, load.stop(), disruption::Planned);
}

// A frozen instance still has the old view, and its streams run on the engines, so a change must
// wait for it: the reservation is withdrawn after the drain time, and the engines get their orders
// only when the instance is back. Callers of the frozen instance wait; no stream is cut by an
// order.
outcome_counts changeWaitsForFrozenInstance(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.drainSeconds = 5;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    load.waitForWholeAnswers(10);
    fleet.instance(2).freeze();
    expect(fleet.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    waitUntil("the change is withdrawn", [&] { return fleet.hasEvent(0, "order_withdrawn"); });
    expect(orderCount(fleet, 0) + orderCount(fleet, 1) == 0,
           "no engine gets an order before all instances have acknowledged the change");
    fleet.instance(2).unfreeze();
    for (std::size_t index = 0; index < spec.engines; ++index)
        waitUntil("engine changes", [&] { return fleet.hasVersion(index, "2"); });
    load.waitForWholeAnswers(10);
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

// An engine exits permanently in the middle of its change, while the instance list is 2 minutes
// outdated. The changes of the other engines must not cut the streams that have moved to them.
// Callers get their answer from another engine, or an error that no answer is available yet.
outcome_counts engineKilledInChangeListLagging(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.engines = 3;
    spec.engineOptions = {"--crash-in-change", "exit"};
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    fleet.setInstanceListLag(120000);
    expect(fleet.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    for (std::size_t index = 1; index < spec.engines; ++index)
        waitUntil("engine changes", [&] { return fleet.hasVersion(index, "2"); });
    load.waitForWholeAnswers(20);
    fleet.engine(0).waitForExit();
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

} // namespace

std::vector<scenario> engineChangeScenarios()
{
    return {{"roles_change_under_streams", 2, 1, rolesChangeUnderStreams},
            {"engine_replaced_under_load", 2, 1, engineReplacedUnderLoad},
            {"change_waits_for_frozen_instance", 2, 1, changeWaitsForFrozenInstance},
            {"engine_killed_in_change_list_lagging", 2, 2, engineKilledInChangeListLagging}};
}

} // namespace poplarspool::faults
