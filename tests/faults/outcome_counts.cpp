#include "faults/outcome_counts.h"

#include <sstream>

namespace poplarspool::faults {

using nlohmann::json;

namespace {

void addOutcome(const call_record &call, disruption allowed, outcome_counts &counts)
{
    ++counts.requests;
    counts.notRun += call.notRunRequestIds.size();
    switch (call.outcome) {
    case call_outcome::Whole:
        ++counts.whole;
        return;
    case call_outcome::NotRun:
        return;
    case call_outcome::MayHaveRun:
        ++counts.mayHaveRun;
        counts.cut += allowed == disruption::Planned ? 1 : 0;
        return;
    case call_outcome::Doubled:
        ++counts.doubled;
        return;
    case call_outcome::Cut:
    case call_outcome::Wrong:
        ++counts.cut;
    }
}

void addServiceRuns(const std::map<std::string, std::uint64_t> &runs,
                    const std::vector<call_record> &calls, outcome_counts &counts)
{
    for (const auto &[key, count] : runs)
        counts.doubled += count - 1;
    // A key may have been sent several times. It must not have run if every answer was "not run".
    std::map<std::string, bool> answeredOnlyNotRun;
    for (const call_record &call : calls)
        if (!call.key.empty())
            answeredOnlyNotRun.try_emplace(call.key, true).first->second &=
                    call.outcome == call_outcome::NotRun;
    for (const auto &[key, isNotRun] : answeredOnlyNotRun)
        counts.falseNotRun += isNotRun && runs.count(key) != 0 ? 1 : 0;
}

void addFalseNotRun(const std::vector<json> &records, const std::vector<call_record> &calls,
                    outcome_counts &counts)
{
    std::set<std::string> begun;
    for (const json &engine : records)
        for (const json &each : engine.at("requests"))
            if (each.at("began").get<bool>())
                begun.insert(each.at("request").get<std::string>());
    for (const call_record &call : calls)
        for (const std::string &request : call.notRunRequestIds)
            counts.falseNotRun += begun.count(request);
}

void addOrderViolations(const json &engine, outcome_counts &counts)
{
    counts.staleOrders += engine.at("stale_orders_obeyed").get<std::uint64_t>()
            + engine.at("orders_during_change").get<std::uint64_t>();
    std::map<std::uint64_t, json> stateByFence;
    for (const json &order : engine.at("orders")) {
        counts.cut += order.at("streams_cut").get<std::uint64_t>();
        if (!order.at("obeyed").get<bool>())
            continue;
        const json state = {order.at("role"), order.at("models")};
        const auto [existing, isFirst] = stateByFence.emplace(order.at("fence"), state);
        counts.staleOrders += !isFirst && existing->second != state ? 1 : 0;
    }
}

} // namespace

outcome_counts countOutcomes(test_fleet &fleet, const std::vector<call_record> &calls,
                             disruption allowed)
{
    outcome_counts counts;
    for (const call_record &call : calls)
        addOutcome(call, allowed, counts);
    const std::vector<json> engines = fleet.allEngineRecords();
    addServiceRuns(fleet.serviceRuns(), calls, counts);
    addFalseNotRun(engines, calls, counts);
    for (const json &engine : engines)
        addOrderViolations(engine, counts);
    return counts;
}

std::string formatResultLine(const std::string &scenario, int guarantee,
                             const outcome_counts &counts)
{
    std::ostringstream line;
    line << "scenario=" << scenario << " requests=" << counts.requests << " whole=" << counts.whole
         << " not_run=" << counts.notRun << " may_have_run=" << counts.mayHaveRun
         << " doubled=" << counts.doubled << " cut=" << counts.cut
         << " false_not_run=" << counts.falseNotRun << " stale_orders=" << counts.staleOrders
         << " point=" << guarantee;
    return line.str();
}

} // namespace poplarspool::faults
