#pragma once

#include "poplarspool/policy/plan.h"
#include "poplarspool/policy/routing.h"

#include <string>
#include <vector>

namespace poplarspool::policy::fixture {

inline constexpr mono_time startTime{std::chrono::hours(1)};
inline const model_version reader{"reader", "1"};
inline const pool_id llmPool{"llm"};

/// Engines e10, e11, … that alternate between zones a and b, all with the reader model, and one
/// runner of the plain service "portal".
inline std::shared_ptr<inventory> makeFleet(std::uint32_t engines)
{
    auto fleet = std::make_shared<inventory>();
    fleet->zones = {{"a"}, {"b"}};
    fleet->pools.push_back({llmPool, runner_kind::Engine, {reader}, {}, engine_role::Mixed});
    fleet->pools.push_back({{"desk"}, runner_kind::Service, {}, "portal", engine_role::Mixed});
    for (std::uint32_t i = 0; i < engines; ++i) {
        runner_spec engine;
        engine.id = {"e" + std::to_string(10 + i)};
        engine.pool = llmPool;
        engine.zone = fleet->zones[i % 2];
        engine.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
        engine.supportedModels = {reader};
        fleet->runners.push_back(engine);
    }
    runner_spec service;
    service.id = {"s1"};
    service.pool = {"desk"};
    service.zone = fleet->zones[0];
    service.address = {"127.0.0.1", 9999};
    fleet->runners.push_back(service);
    return fleet;
}

inline std::vector<member> makeMembers(std::uint32_t count)
{
    std::vector<member> members;
    for (std::uint32_t i = 0; i < count; ++i) {
        member instance;
        instance.id = {"i" + std::to_string(100 + i)};
        instance.zone = {i % 2 == 0 ? "a" : "b"};
        instance.callerAddress = {"127.0.0.1", static_cast<std::uint16_t>(8000 + i)};
        members.push_back(instance);
    }
    return members;
}

/// All runners up and idle, with fresh reports and their models loaded.
inline view makeView(std::shared_ptr<const inventory> fleet, std::uint32_t members = 1)
{
    view now;
    replaceFleet(now, std::move(fleet));
    now.members = makeMembers(members);
    for (std::size_t i = 0; i < now.runners.size(); ++i) {
        now.runners[i].health = runner_health::Up;
        now.runners[i].reportedAt = startTime;
        now.runners[i].report.kvPiecesTotal = 1000;
        now.runners[i].report.models = now.fleet->runners[i].supportedModels;
    }
    return now;
}

inline void setStreams(runner_state &runner, std::uint32_t running)
{
    runner.report.running = running;
    runner.report.kvPiecesUsed = running * 10;
}

inline route_request readerRequest()
{
    route_request wanted;
    wanted.model = reader.model;
    wanted.promptTokens = 800;
    wanted.outputTokens = 100;
    wanted.rank = 1;
    wanted.timeLeft = std::chrono::seconds(60);
    return wanted;
}

} // namespace poplarspool::policy::fixture
