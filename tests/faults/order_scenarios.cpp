#include "faults/load_generator.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <atomic>
#include <functional>

namespace poplarspool::faults {

using nlohmann::json;

namespace {

constexpr std::size_t noInstance = SIZE_MAX;

/// Runs an action when the first order is opened: after its record has taken effect in the store
/// and before the writer gets the answer. The order is then recorded but not sent.
class order_write_trap
{
public:
    using trap_action = std::function<void(std::size_t instance, std::size_t engine)>;

    order_write_trap(test_fleet &fleet, std::size_t instances, trap_action action)
        : fleet(fleet), instances(instances), action(std::move(action))
    {
        for (std::size_t index = 0; index < instances; ++index)
            fleet.storeProxy(index).setWriteHook(
                    [this](const http_request &write) { return onWrite(write); });
    }
    ~order_write_trap()
    {
        for (std::size_t index = 0; index < instances; ++index)
            fleet.storeProxy(index).setWriteHook({});
    }
    order_write_trap(const order_write_trap &) = delete;
    order_write_trap &operator=(const order_write_trap &) = delete;

    std::size_t waitUntilCaught()
    {
        waitUntil("an order is opened", [this] { return caughtWriter != noInstance; });
        return caughtWriter;
    }

    /// Freezes the writer after it has recorded the order and before it sends it. The action must
    /// have frozen the engine: until the engine is unfrozen here, the writer can't get the load
    /// report that it needs before sending.
    /// @returns The writer's index.
    std::size_t freezeWriter()
    {
        const std::size_t writer = waitUntilCaught();
        fleet.instance(writer).freeze();
        fleet.engine(engine).unfreeze();
        return writer;
    }

private:
    bool onWrite(const http_request &write)
    {
        const std::string text = extractOrderRecord(write);
        const json record = json::parse(text.empty() ? "{}" : text);
        if (record.value("phase", "") != "open" || caughtWriter != noInstance)
            return true;
        const std::size_t writer = test_fleet::indexInName(record.at("writer").get<std::string>());
        engine = test_fleet::indexInName(record.at("runner").get<std::string>());
        action(writer, engine);
        caughtWriter = writer;
        return true;
    }

    test_fleet &fleet;
    const std::size_t instances;
    const trap_action action;
    std::atomic<std::size_t> engine{0};
    std::atomic<std::size_t> caughtWriter{noInstance};
};

std::size_t otherThan(std::size_t index)
{
    return index == 0 ? 1 : 0;
}

void waitForVersion(test_fleet &fleet, std::size_t engines, const std::string &version)
{
    for (std::size_t index = 0; index < engines; ++index)
        waitUntil("engine " + std::to_string(index) + " has version " + version,
                  [&] { return fleet.hasVersion(index, version); });
}

outcome_counts plannerFrozen(const scenario_environment &environment, bool checksFence)
{
    fleet_spec spec;
    spec.hasStoreProxies = true;
    spec.checksFence = checksFence;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    order_write_trap trap(fleet, spec.instances,
                          [&](std::size_t, std::size_t engine) { fleet.engine(engine).freeze(); });
    expect(fleet.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    const std::size_t frozen = trap.freezeWriter();
    const std::size_t other = otherThan(frozen);
    fleet.removeFromInstanceList(frozen);
    waitForVersion(fleet, spec.engines, "2");
    const change_result next = fleet.apply(other, {.version = "3"});
    waitForVersion(fleet, spec.engines, "3");
    fleet.instance(frozen).unfreeze();
    fleet.addToInstanceList(frozen);
    fleet.waitInForce(next.version);
    waitUntil("the unfrozen planner is alive again",
              [&] { return fleet.stateOf(frozen, other) == "alive"; });
    load.waitForWholeAnswers(20);
    waitForVersion(fleet, spec.engines, "3");
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

// A planner is frozen after the record of its order took effect and before it sends the order. A
// successor takes over, and completes that order and the next change. When unfrozen, the first
// planner still considers its order valid, which would return the engine to the older version. The
// engine's check of the fence and the send window prevent that. Callers only notice a slow
// instance.
outcome_counts plannerFrozenFenceChecked(const scenario_environment &environment)
{
    return plannerFrozen(environment, true);
}

// As above, with engines that do not check the fence. Only the send window, the check of that
// window before sending, and the successor's wait protect the engine from the unfrozen planner.
outcome_counts plannerFrozenFenceIgnored(const scenario_environment &environment)
{
    return plannerFrozen(environment, false);
}

// Two planners are active at the same time, and neither reliably learns the outcome of its writes:
// the first is frozen while its order is open and unfrozen while its successor works, and the store
// loses answers to writes that took effect. Since the single history of records in the store
// decides, engines receive one order at a time.
outcome_counts twoPlannersLostAnswers(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.hasStoreProxies = true;
    spec.checksFence = false;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    order_write_trap trap(fleet, spec.instances,
                          [&](std::size_t, std::size_t engine) { fleet.engine(engine).freeze(); });
    const change_result change = fleet.apply(0, {.version = "2"});
    const std::size_t frozen = trap.freezeWriter();
    waitUntil("another planner takes over",
              [&] { return fleet.isDeadOrUnknown(frozen, otherThan(frozen)); });
    fleet.injectPlatformFault({{"mode", "lose_answers"}, {"count", 12}});
    fleet.instance(frozen).unfreeze();
    waitForVersion(fleet, spec.engines, "2");
    fleet.waitInForce(change.version);
    load.waitForWholeAnswers(20);
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

// The planner is killed while its order is open, and the engine crashes in the middle of the change
// that the successor orders. The same order with the same fence is sent to the engine's new
// incarnation, and no other order is sent before it is done. Callers are served by the other
// engine.
outcome_counts engineCrashesAndPlannerKilled(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.hasStoreProxies = true;
    spec.engineOptions = {"--crash-in-change", "drop"};
    test_fleet fleet(environment, spec);
    load_generator load(fleet, {});
    order_write_trap trap(fleet, spec.instances,
                          [&](std::size_t writer, std::size_t) { fleet.instance(writer).kill(); });
    expect(fleet.apply(0, {.version = "2"}).version != 0, "the change is accepted");
    const std::size_t killed = trap.waitUntilCaught();
    fleet.killInstance(killed);
    waitForVersion(fleet, spec.engines, "2");
    load.waitForWholeAnswers(20);
    return countOutcomes(fleet, load.stop(), disruption::Failures);
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
