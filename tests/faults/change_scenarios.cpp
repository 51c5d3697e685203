#include "faults/load.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

namespace poplarspool::faults {

using nlohmann::json;

namespace {

std::size_t changesOf(fleet &site, std::size_t engine)
{
    return site.engineRecords(engine).at("changes").get<std::size_t>();
}

std::size_t ordersTo(fleet &site, std::size_t engine)
{
    return site.engineRecords(engine).at("orders").size();
}

// Callers see nothing. All engines change their version and then their role, one after the other,
// while streams run everywhere. An engine that is ordered cuts what runs on it, so each must have
// been drained of every instance's streams before.
tally rolesChangeUnderStreams(const stage &place)
{
    fleet_spec spec;
    fleet site(place, spec);
    load work(site, {});
    std::size_t done = 0;
    for (const config_choice &choice : {config_choice{"2", "mixed", {}}, {"2", "decode", {}}}) {
        site.applyEverywhere(choice);
        ++done;
        for (std::size_t index = 0; index < spec.engines; ++index)
            waitUntil("engine changes", [&] { return changesOf(site, index) >= done; });
    }
    work.waitForWhole(20);
    return countOf(site, work.stop(), disturbance::Planned);
}

// Callers see nothing. Operators drain an engine, take the idle machine away, put another in its
// place and bring it back by the inventory, while streams run.
tally engineReplacedUnderLoad(const stage &place)
{
    fleet site(place, {});
    load work(site, {});
    site.applyEverywhere({.draining = {0}});
    waitUntil("the drained engine is idle", [&] {
        const json records = site.engineRecords(0);
        return records.at("started") == records.at("finished");
    });
    site.killEngine(0);
    work.waitForWhole(20);
    site.restartEngine(0);
    site.applyEverywhere({});
    waitUntil("the new engine works", [&] { return site.startedOn(0) > 0; });
    work.waitForWhole(20);
    return countOf(site, work.stop(), disturbance::Planned);
}

// Callers of a frozen instance wait; no stream is cut by an order. The instance still believes the
// old view and its streams are on the engines, so a change must wait for it: the reservation is
// withdrawn after the drain time, and only once the instance is back the engines are ordered.
tally changeWaitsForFrozenInstance(const stage &place)
{
    fleet_spec spec;
    spec.drainSeconds = 5;
    fleet site(place, spec);
    load work(site, {});
    work.waitForWhole(10);
    site.instance(2).freeze();
    expect(site.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    waitUntil("the change is withdrawn", [&] { return site.hasEvent(0, "order_withdrawn"); });
    expect(ordersTo(site, 0) + ordersTo(site, 1) == 0,
           "no engine is ordered before all instances have acknowledged");
    site.instance(2).wake();
    for (std::size_t index = 0; index < spec.engines; ++index)
        waitUntil("engine changes", [&] { return site.hasVersion(index, "2"); });
    work.waitForWhole(10);
    return countOf(site, work.stop(), disturbance::Failures);
}

// Callers hear that nobody has the answer yet, or get it elsewhere: an engine dies for good in the
// middle of its change while the list of instances is minutes old. The change of the other engine
// must not cut what has been moved there.
tally engineKilledInChangeListLagging(const stage &place)
{
    fleet_spec spec;
    spec.engines = 3;
    spec.engineOptions = {"--crash-in-change", "exit"};
    fleet site(place, spec);
    load work(site, {});
    site.platformLag(120000);
    expect(site.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    for (std::size_t index = 1; index < spec.engines; ++index)
        waitUntil("engine changes", [&] { return site.hasVersion(index, "2"); });
    work.waitForWhole(20);
    site.engine(0).waitForEnd();
    return countOf(site, work.stop(), disturbance::Failures);
}

} // namespace

std::vector<scenario> changeScenarios()
{
    return {{"roles_change_under_streams", 2, 1, rolesChangeUnderStreams},
            {"engine_replaced_under_load", 2, 1, engineReplacedUnderLoad},
            {"change_waits_for_frozen_instance", 2, 1, changeWaitsForFrozenInstance},
            {"engine_killed_in_change_list_lagging", 2, 2, engineKilledInChangeListLagging}};
}

} // namespace poplarspool::faults
