#pragma once

#include "memory_store.h"
#include "node/planner_core.h"

#include "poplarspool/operators/config_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Fakes of the planner's dependencies: an engine and one planning instance.
namespace poplarspool::node::order_fakes {

inline const pool_id pool{"recovery-llm"};
inline const runner_id engineId{"engine-1"};
inline const endpoint engineAddress{"127.0.0.1", 9};
inline const std::string deployment = "lanka";
inline const policy::model_version model{"recovery-llm", "1"};

/// A clock that a test advances. Each reading advances it slightly too, so that timed waits end.
struct fake_clock
{
    mono_time now{std::chrono::hours(1)};
    milliseconds tick{1};

    clock_source source()
    {
        return {[this] { return now += tick; }, [] { return wall_time{}; }};
    }
};

/// A model engine whose state changes only through calls of the test.
struct fake_engine
{
    bool checksFence = true;
    policy::load_report report;
    std::optional<policy::wanted_engine> changingTo;
    std::vector<runner::engine_order> received;
    std::vector<runner::engine_order> obeyed;
    bool isDown = false;
    bool losesAnswer = false;

    fake_engine()
    {
        report.incarnation = 1;
        report.models = {model};
    }

    result<policy::load_report> load() const
    {
        if (isDown)
            return notRun(error_code::Unavailable, "down");
        return report;
    }

    result<unit> order(const runner::engine_order &wanted)
    {
        if (isDown)
            return notRun(error_code::Unavailable, "down");
        received.push_back(wanted);
        if (checksFence && wanted.fence < report.lastFence)
            return notRun(error_code::Stale, "outdated fencing token");
        obeyed.push_back(wanted);
        report.lastFence = wanted.fence;
        changingTo = wanted.wanted;
        report.isChanging = true;
        if (losesAnswer)
            return mayHaveRun(error_code::Broken, "answer lost");
        return unit{};
    }

    void finishChange()
    {
        if (!changingTo)
            return;
        report.role = changingTo->role;
        report.models = changingTo->models;
        report.isChanging = false;
        changingTo.reset();
    }

    /// Loses the change in progress. Keeps the fencing token, as engines that check it must.
    void crash()
    {
        changingTo.reset();
        report.isChanging = false;
        ++report.incarnation;
    }
};

/// @returns The store's API, with a list() of the one record that these tests use.
inline platform::object_api apiOf(memory_store &shared)
{
    platform::object_api fake = shared.api();
    fake.list = [get = fake.get](const std::string &) -> result<platform::object_list> {
        platform::object_list out;
        const auto found = get(operators::orderKey(deployment, engineId.text));
        if (succeeded(found))
            out.objects.push_back(valueOf(found));
        else if (errorOf(found).code != error_code::NotFound)
            return errorOf(found);
        return out;
    };
    return fake;
}

/// @returns The engine's order record; an empty one if there is none.
inline order_record recordIn(memory_store &shared)
{
    const auto found = shared.api().get(operators::orderKey(deployment, engineId.text));
    if (!succeeded(found))
        return {};
    return valueOf(parseOrderRecord(valueOf(found).value));
}

/// One instance that considers itself the planner, and wants one role for the engine.
struct planning_instance
{
    using send_function = decltype(order_context::send);

    instance_id self;
    fake_engine &engine;
    memory_store &platform;
    fake_clock &clock;
    policy::engine_role wantedRole;
    bool isPlanning = true;
    bool isAppliedEverywhere = true;
    result<platform::weight_manifest> weights{platform::weight_manifest{}};
    std::vector<policy::model_version> wantedModels{model};
    send_function send;

    metrics_registry metrics;
    journal events;
    view_publisher views;
    platform::object_store store;
    planner_core core;

    planning_instance(std::string name, fake_engine &engine, memory_store &platform,
                      fake_clock &clock, policy::engine_role role)
        : self{std::move(name)}, engine(engine), platform(platform), clock(clock), wantedRole(role),
          send([&engine](const endpoint &, const runner::engine_order &order, mono_time) {
              return engine.order(order);
          }),
          events(self, clock.source(), 4096),
          store(apiOf(platform), {1e6, 1e6, milliseconds(1), milliseconds(2)}, clock.source(),
                metrics, events),
          core(dependencies(), views, context(),
               [this](const policy::view &now, const pool_id &, const policy::plan_rule &,
                      const policy::planner_state &memory, const policy::demand_estimate &,
                      mono_time) { return plan(now, memory); })
    {
        publishView();
    }

    planner_dependencies dependencies()
    {
        return {self, deployment, milliseconds(500),
                [](const pool_id &) { return policy::demand_estimate{}; },
                [this](std::uint64_t) { return isAppliedEverywhere; }};
    }

    order_context context()
    {
        return {self,
                deployment,
                [this](std::uint64_t) { return isAppliedEverywhere; },
                store,
                {[this](const std::string &, const std::string &) { return weights; }},
                [this](const endpoint &) { return engine.load(); },
                [this](const endpoint &to, const runner::engine_order &order, mono_time end) {
                    return send(to, order, end);
                },
                clock.source(),
                metrics,
                events};
    }

    policy::plan_step plan(const policy::view &now, const policy::planner_state &memory) const
    {
        const policy::runner_state &state = now.runners.front();
        const bool isWanted = state.report.role == wantedRole;
        if (!isPlanning || state.isReserved || isWanted)
            return {{}, memory};
        return {{{runner_handle{0}, {wantedRole, wantedModels}}}, memory};
    }

    void publishView()
    {
        views.update([&](policy::view &now) {
            policy::inventory fleet;
            fleet.deployment = deployment;
            policy::pool_spec &served = fleet.pools.emplace_back();
            served.id = pool;
            served.serves = {model};
            policy::runner_spec &spec = fleet.runners.emplace_back();
            spec.id = engineId;
            spec.pool = pool;
            spec.address = engineAddress;
            spec.checksFence = engine.checksFence;
            now.fleet = std::make_shared<policy::inventory>(fleet);
            now.ruleSet = std::make_shared<policy::rules>();
            now.runners.assign(1, {});
            now.runners.front().report = engine.report;
            now.runners.front().isReserved = recordIn(platform).phase != order_phase::Settled;
            now.appliedVersion = UINT64_MAX;
            now.members.resize(1);
            now.members.front().id = self;
            now.freshUntil = mono_time::max();
            return true;
        });
    }

    /// Runs one iteration after some time, with a fresh view.
    void runOnce(milliseconds after = milliseconds(500))
    {
        clock.now += after;
        publishView();
        core.runOnce();
    }

    bool hasEvent(const std::string &kind) const { return !events.events({kind, "", ""}).empty(); }
};

} // namespace poplarspool::node::order_fakes
