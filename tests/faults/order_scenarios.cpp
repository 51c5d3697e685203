#include "faults/load.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <atomic>
#include <functional>

namespace poplarspool::faults {

using nlohmann::json;

namespace {

constexpr std::size_t noInstance = SIZE_MAX;

/// Strikes where the first order is opened, after its record has taken effect and before its writer
/// hears so: the order is recorded and not sent.
class writer_trap
{
public:
    using strike = std::function<void(std::size_t instance, std::size_t engine)>;

    writer_trap(fleet &site, std::size_t instances, strike how)
        : site(site), instances(instances), how(std::move(how))
    {
        for (std::size_t index = 0; index < instances; ++index)
            site.gate(index).setHook([this](const http_request &write) { return onWrite(write); });
    }
    ~writer_trap()
    {
        for (std::size_t index = 0; index < instances; ++index)
            site.gate(index).setHook({});
    }
    writer_trap(const writer_trap &) = delete;
    writer_trap &operator=(const writer_trap &) = delete;

    std::size_t waitForCatch()
    {
        waitUntil("an order is opened", [this] { return caught != noInstance; });
        return caught;
    }

    /// Freezes the writer between its record and its send: as long as the engine is frozen, the
    /// writer can't get the load report that it wants before it sends.
    std::size_t freezeWriter()
    {
        const std::size_t writer = waitForCatch();
        site.instance(writer).freeze();
        site.engine(engine).wake();
        return writer;
    }

private:
    bool onWrite(const http_request &write)
    {
        const std::string text = orderRecordIn(write);
        const json record = json::parse(text.empty() ? "{}" : text);
        if (record.value("phase", "") != "open" || caught != noInstance)
            return true;
        const std::size_t writer = fleet::numberOf(record.at("writer").get<std::string>());
        engine = fleet::numberOf(record.at("runner").get<std::string>());
        how(writer, engine);
        caught = writer;
        return true;
    }

    fleet &site;
    const std::size_t instances;
    const strike how;
    std::atomic<std::size_t> engine{0};
    std::atomic<std::size_t> caught{noInstance};
};

std::size_t otherThan(std::size_t index)
{
    return index == 0 ? 1 : 0;
}

void waitForVersion(fleet &site, std::size_t engines, const std::string &version)
{
    for (std::size_t index = 0; index < engines; ++index)
        waitUntil("engine " + std::to_string(index) + " has version " + version,
                  [&] { return site.hasVersion(index, version); });
}

tally plannerFrozen(const stage &place, bool checksFence)
{
    fleet_spec spec;
    spec.isGated = true;
    spec.checksFence = checksFence;
    fleet site(place, spec);
    load work(site, {});
    writer_trap trap(site, spec.instances,
                     [&](std::size_t, std::size_t engine) { site.engine(engine).freeze(); });
    expect(site.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    const std::size_t frozen = trap.freezeWriter();
    const std::size_t other = otherThan(frozen);
    site.unlist(frozen);
    waitForVersion(site, spec.engines, "2");
    const change_answer next = site.apply(other, {.version = "3"});
    waitForVersion(site, spec.engines, "3");
    site.instance(frozen).wake();
    site.list(frozen);
    site.waitInForce(next.version);
    waitUntil("the woken planner is back", [&] { return site.stateOf(frozen, other) == "alive"; });
    work.waitForWhole(20);
    waitForVersion(site, spec.engines, "3");
    return countOf(site, work.stop(), disturbance::Failures);
}

// Callers see nothing but a slow instance. A planner is frozen after its order's record took effect
// and before it sends. A successor takes over, finishes that order and the next change. The woken
// planner still believes in its order, which would take the engine back: the engine's check of the
// number, and the window, keep it from having an effect.
tally plannerFrozenFenceChecked(const stage &place)
{
    return plannerFrozen(place, true);
}

// As above, with engines that obey any number: here only the window, the successor's wait and the
// guard of the window stand between the woken planner and the engine.
tally plannerFrozenFenceIgnored(const stage &place)
{
    return plannerFrozen(place, false);
}

// Two planners are at work at once, and each hears wrongly what became of its writes: the first is
// frozen over its open order and woken in the middle of its successor's work, while the store loses
// answers of writes that took effect. One history of records decides, so that engines hear one
// order at a time.
tally twoPlannersLostAnswers(const stage &place)
{
    fleet_spec spec;
    spec.isGated = true;
    spec.checksFence = false;
    fleet site(place, spec);
    load work(site, {});
    writer_trap trap(site, spec.instances,
                     [&](std::size_t, std::size_t engine) { site.engine(engine).freeze(); });
    const change_answer change = site.apply(0, {.version = "2"});
    const std::size_t frozen = trap.freezeWriter();
    waitUntil("another planner takes over", [&] { return site.isGone(frozen, otherThan(frozen)); });
    site.platformFault({{"mode", "lose_answers"}, {"count", 12}});
    site.instance(frozen).wake();
    waitForVersion(site, spec.engines, "2");
    site.waitInForce(change.version);
    work.waitForWhole(20);
    return countOf(site, work.stop(), disturbance::Failures);
}

// Callers go on with the other engine. The planner is killed over its open order, and the engine
// crashes in the middle of the change that the successor orders: the same order under the same
// number is sent to the new life, and no other one comes before it is done.
tally engineCrashesAndPlannerKilled(const stage &place)
{
    fleet_spec spec;
    spec.isGated = true;
    spec.engineOptions = {"--crash-in-change", "drop"};
    fleet site(place, spec);
    load work(site, {});
    writer_trap trap(site, spec.instances,
                     [&](std::size_t writer, std::size_t) { site.instance(writer).kill(); });
    expect(site.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    const std::size_t killed = trap.waitForCatch();
    site.killInstance(killed);
    waitForVersion(site, spec.engines, "2");
    work.waitForWhole(20);
    return countOf(site, work.stop(), disturbance::Failures);
}

} // namespace

std::vector<scenario> orderScenarios()
{
    return {{"planner_frozen_fence_checked", 3, 1, plannerFrozenFenceChecked},
            {"planner_frozen_fence_ignored", 3, 1, plannerFrozenFenceIgnored},
            {"two_planners_lost_answers", 1, 2, twoPlannersLostAnswers},
            {"engine_crashes_and_planner_killed", 1, 2, engineCrashesAndPlannerKilled}};
}

} // namespace poplarspool::faults
