#include "bench/decisions.h"

#include "bench/command.h"
#include "bench/sample_stats.h"
#include "crashes/crash_table.h"
#include "gateway/envelope.h"
#include "gateway/runner_table.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/crashes/limits.h"
#include "poplarspool/policy/plan.h"
#include "poplarspool/policy/routing.h"
#include "poplarspool/withdrawals/withdrawal_registry.h"

#include <iostream>
#include <random>

namespace poplarspool::bench {

namespace {

using policy::view;

constexpr std::uint32_t runnerCount = 600;
constexpr std::uint32_t modelCount = 11;
constexpr std::uint32_t zoneCount = 8;
constexpr std::uint32_t memberCount = 330;
constexpr std::uint32_t decisionCount = 100'000;
constexpr std::uint32_t planIterations = 500;
constexpr std::uint32_t rankingCount = 10'000;
constexpr std::uint64_t seed = 1;
constexpr mono_time startTime{std::chrono::hours(1)};

std::string numbered(std::string_view prefix, std::uint32_t number)
{
    const std::string digits = std::to_string(1000 + number);
    return std::string(prefix) + digits;
}

policy::model_version modelOf(std::uint32_t number)
{
    return {numbered("model-", number % modelCount), "1"};
}

zone_id zoneOf(std::uint32_t number)
{
    return {numbered("zone-", number % zoneCount)};
}

/// @param modelsEach Number of models that each engine supports and has loaded.
/// @param poolCount Number of pools that the engines are distributed over.
std::shared_ptr<const policy::inventory> makeFleet(std::uint32_t modelsEach,
                                                   std::uint32_t poolCount)
{
    auto fleet = std::make_shared<policy::inventory>();
    fleet->deployment = "bench";
    for (std::uint32_t i = 0; i < zoneCount; ++i)
        fleet->zones.push_back(zoneOf(i));
    for (std::uint32_t i = 0; i < poolCount; ++i) {
        policy::pool_spec pool;
        pool.id = {numbered("pool-", i)};
        pool.serves = {modelOf(i)};
        fleet->pools.push_back(pool);
    }
    for (std::uint32_t i = 0; i < runnerCount; ++i) {
        policy::runner_spec runner;
        runner.id = {numbered("engine-", i)};
        runner.pool = {numbered("pool-", i % poolCount)};
        runner.zone = zoneOf(i / poolCount);
        runner.address = {"127.0.0.1", static_cast<std::uint16_t>(10000 + i)};
        for (std::uint32_t k = 0; k < modelsEach; ++k)
            runner.supportedModels.push_back(modelOf(i % poolCount + k));
        fleet->runners.push_back(runner);
    }
    return fleet;
}

view makeView(std::shared_ptr<const policy::inventory> fleet)
{
    std::mt19937_64 random(seed);
    view now;
    policy::replaceFleet(now, std::move(fleet));
    for (std::uint32_t i = 0; i < runnerCount; ++i) {
        policy::runner_state &state = now.runners[i];
        state.health = policy::runner_health::Up;
        state.reportedAt = startTime - milliseconds(random() % 250);
        state.report.running = random() % 48;
        state.report.kvPiecesTotal = 1000;
        state.report.kvPiecesUsed = state.report.running * 18;
        state.report.prefillTokensQueued = random() % 3000;
        state.report.models = now.fleet->runners[i].supportedModels;
    }
    for (std::uint32_t i = 0; i < memberCount; ++i) {
        policy::member member;
        member.id = {numbered("instance-", i)};
        member.zone = zoneOf(i);
        member.callerAddress = {"127.0.0.1", static_cast<std::uint16_t>(20000 + i)};
        member.openStreams = random() % 1000;
        now.members.push_back(member);
    }
    return now;
}

template <class Decision>
durations timesOf(std::uint32_t count, const Decision &decide)
{
    durations times;
    times.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto before = std::chrono::steady_clock::now();
        decide(i);
        times.push_back(std::chrono::steady_clock::now() - before);
    }
    return times;
}

void print(const std::string &name, const durations &times)
{
    const auto nanoseconds = [&](double share) {
        return static_cast<double>(quantileOf(times, share).count());
    };
    std::cout << "decision=" << name << ' '
              << lineOf({{"p50_ns", nanoseconds(0.5), 0},
                         {"p99_ns", nanoseconds(0.99), 0},
                         {"max_ns", nanoseconds(1), 0},
                         {"count", static_cast<double>(times.size()), 0}})
              << std::endl;
}

void benchRoute(const std::string &name, std::uint32_t modelsEach)
{
    const view now = makeView(makeFleet(modelsEach, modelCount));
    std::vector<policy::sent_work> sent(runnerCount);
    policy::route_request request;
    request.promptTokens = 1200;
    request.outputTokens = 200;
    request.rank = 1;
    request.zone = zoneOf(3);
    request.timeLeft = std::chrono::seconds(60);
    std::uint64_t refused = 0;
    const durations times = timesOf(decisionCount, [&](std::uint32_t i) {
        request.model = modelOf(i).model;
        request.prefixHash = i % 3 == 0 ? 0 : i % 997 + 1;
        const auto choice = policy::route(now, request, sent, startTime, i);
        refused += succeeded(choice) ? 0 : 1;
        if (succeeded(choice))
            sent[valueOf(choice).runner.index].openSinceReport = i % 4;
    });
    print(name, times);
    if (refused > 0)
        std::cout << "refused=" << refused << std::endl;
}

void benchPlan()
{
    const view now = makeView(makeFleet(1, 1));
    const pool_id pool = now.fleet->pools.front().id;
    policy::plan_rule rule;
    rule.goodputWeight = 0;
    policy::planner_state plannerState;
    std::size_t changes = 0;
    print("plan_pool_of_600", timesOf(planIterations, [&](std::uint32_t i) {
              const double prefillDemand = i % 100 < 50 ? 700.0 : 200.0;
              const policy::demand_estimate estimate{prefillDemand, 800 - prefillDemand,
                                                     prefillDemand / 10, prefillDemand / 10};
              const auto step = policy::planPool(now, pool, rule, plannerState, estimate,
                                                 startTime + i * config::planInterval / 10);
              plannerState = step.plannerState;
              changes += step.changes.size();
          }));
    std::cout << "planned_changes=" << changes << std::endl;
}

/// One decision of a gateway about a long prompt, in a fleet of that many engines.
void benchPlacement(std::size_t engines)
{
    gateway::runner_set listed;
    for (std::size_t i = 0; i < engines; ++i) {
        gateway::runner made;
        made.id.text = "engine-" + std::to_string(i);
        made.service.text = "llm";
        made.zone = zoneOf(static_cast<std::uint32_t>(i % zoneCount));
        made.stage = i % 3 == 0 ? gateway::engine_stage::Prefill : gateway::engine_stage::Decode;
        listed.put(std::make_shared<const gateway::runner>(made));
    }
    gateway::catalogue known;
    known.runners = std::make_shared<const gateway::runner_set>(std::move(listed));
    gateway::runner_table table(systemClock());
    const gateway::engine_traits traits{128, 750'000, 18'432, 320'000};
    gateway::placement_query query;
    query.service.text = "llm";
    query.zone = zoneOf(0);
    query.engine = traits;
    query.promptTokens = 17'000;
    query.sharedTokens = 13'300;
    query.objectiveLeftMs = 800;
    print("place_of_" + std::to_string(engines), timesOf(decisionCount, [&](std::uint32_t i) {
              query.draw = hashOf(std::to_string(i));
              query.now = systemClock().mono();
              const std::vector<gateway::prompt_part> prompt{{i % 2000 + 1, 13'300},
                                                             {i + 10'000ULL, 3'700}};
              const auto candidates = table.candidatesOf(
                      known, {query.service, &traits, prompt, {}, i % 2000 + 1, query.draw});
              const auto chosen = gateway::choosePlacement(query, candidates);
              if (const auto *place = std::get_if<gateway::placement>(&chosen))
                  table.recordCached(place->serving->id, prompt);
          }));
}

/// The check of one request against the records of crashes, with as many records as are kept.
void benchQuarantine(std::size_t parts)
{
    crashes::crash_table table;
    std::vector<crashes::crash_record> records;
    for (std::uint64_t key = 0; key < config::maxCrashRecords; ++key) {
        crashes::crash_record made{hashOf(std::to_string(key)), {{key, 1}}};
        records.push_back(made);
        made.key = ~made.key;
        made.kind = crashes::suspect_kind::PromptPart;
        records.push_back(std::move(made));
    }
    table.merge(records);
    const std::vector<gateway::prompt_part> prompt(parts + 1, {1, 100, 1});
    std::size_t refused = 0;
    print("quarantine_of_" + std::to_string(parts) + "_parts",
          timesOf(decisionCount, [&](std::uint32_t i) {
              const crashes::request_suspects suspects{
                      i, gateway::partSuspectsOf(prompt, "workspace", i)};
              refused += table.quarantineOf(suspects, 2) ? 1 : 0;
          }));
    std::cout << "refused=" << refused << std::endl;
}

/// The look at what 40 candidates of one request have said of themselves.
/// @param withdrawn Runners that have said that they leave; none of the candidates is among them.
void benchWithdrawals(std::size_t withdrawn)
{
    metrics_registry metrics;
    const clock_source clock = systemClock();
    journal events({"bench"}, clock, 16);
    const peer::fleet_view fleet{{{"bench"}, {}}};
    withdrawals::withdrawal_registry registry({{"bench"},
                                               "Leaves",
                                               [](const auto &, const auto &) {},
                                               {[](const auto &) {}},
                                               fleet,
                                               clock,
                                               metrics,
                                               events});
    const http_headers leaving{{"Leaves", "1"}};
    for (std::size_t i = 0; i < withdrawn; ++i)
        registry.recordAnswer({{{"left-" + std::to_string(i)}, 1}, 200, leaving});
    constexpr std::size_t candidates = 40;
    std::vector<withdrawals::runner_life> asked;
    for (std::size_t i = 0; i < candidates; ++i)
        asked.push_back({{"engine-" + std::to_string(i)}, 1});
    std::size_t found = 0;
    print("withdrawals_of_40_candidates_" + std::to_string(withdrawn) + "_known",
          timesOf(decisionCount, [&](std::uint32_t) {
              for (const withdrawals::runner_life &each : asked)
                  found += forbidsSends(registry.find(each)) ? 1 : 0;
          }));
    std::cout << "found=" << found << std::endl;
}

void benchAddresses()
{
    const view now = makeView(makeFleet(1, modelCount));
    std::size_t addresses = 0;
    print("rank_330_addresses", timesOf(rankingCount, [&](std::uint32_t i) {
              addresses += policy::rankAddresses(now, zoneOf(i), i).size();
          }));
    std::cout << "addresses_each=" << addresses / rankingCount << std::endl;
}

} // namespace

int decisionsCommand(const std::vector<std::string> &arguments)
{
    if (!arguments.empty()) {
        std::cerr << "unexpected argument: " << arguments.front() << '\n';
        return exitUsage;
    }
    benchRoute("route_2_models_each", 2);
    benchRoute("route_11_models_each", modelCount);
    benchPlan();
    benchAddresses();
    for (const std::size_t engines : {140U, 1'200U, 10'000U, 20'000U})
        benchPlacement(engines);
    for (const std::size_t parts : {1U, 4U, 16U})
        benchQuarantine(parts);
    for (const std::size_t withdrawn : {0U, 1U, 1'400U})
        benchWithdrawals(withdrawn);
    return exitSuccess;
}

} // namespace poplarspool::bench
