#include "faults/tally.h"

#include <sstream>

namespace poplarspool::faults {

using nlohmann::json;

namespace {

void countEnd(const call_record &call, disturbance met, tally &into)
{
    ++into.requests;
    into.notRun += call.notRunRequests.size();
    switch (call.end) {
    case call_end::Whole:
        ++into.whole;
        return;
    case call_end::NotRun:
        return;
    case call_end::MayHaveRun:
        ++into.mayHaveRun;
        into.cut += met == disturbance::Planned ? 1 : 0;
        return;
    case call_end::Doubled:
        ++into.doubled;
        return;
    case call_end::Cut:
    case call_end::Wrong:
        ++into.cut;
    }
}

void countRuns(const std::map<std::string, std::uint64_t> &runs,
               const std::vector<call_record> &calls, tally &into)
{
    for (const auto &[key, count] : runs)
        into.doubled += count - 1;
    // A key may have been sent several times: it was not run where nobody heard anything else.
    std::map<std::string, bool> saidNotRun;
    for (const call_record &call : calls)
        if (!call.key.empty())
            saidNotRun.try_emplace(call.key, true).first->second &= call.end == call_end::NotRun;
    for (const auto &[key, isNotRun] : saidNotRun)
        into.falseNotRun += isNotRun && runs.count(key) != 0 ? 1 : 0;
}

void countBegun(const std::vector<json> &records, const std::vector<call_record> &calls,
                tally &into)
{
    std::set<std::string> begun;
    for (const json &engine : records)
        for (const json &each : engine.at("requests"))
            if (each.at("began").get<bool>())
                begun.insert(each.at("request").get<std::string>());
    for (const call_record &call : calls)
        for (const std::string &request : call.notRunRequests)
            into.falseNotRun += begun.count(request);
}

void countOrders(const json &engine, tally &into)
{
    into.staleOrders += engine.at("stale_orders_obeyed").get<std::uint64_t>()
            + engine.at("orders_during_change").get<std::uint64_t>();
    std::map<std::uint64_t, json> wanted;
    for (const json &order : engine.at("orders")) {
        into.cut += order.at("streams_cut").get<std::uint64_t>();
        if (!order.at("obeyed").get<bool>())
            continue;
        const json state = {order.at("role"), order.at("models")};
        const auto [known, isFirst] = wanted.emplace(order.at("fence"), state);
        into.staleOrders += !isFirst && known->second != state ? 1 : 0;
    }
}

} // namespace

tally countOf(fleet &site, const std::vector<call_record> &calls, disturbance met)
{
    tally counts;
    for (const call_record &call : calls)
        countEnd(call, met, counts);
    const std::vector<json> engines = site.allEngineRecords();
    countRuns(site.serviceRuns(), calls, counts);
    countBegun(engines, calls, counts);
    for (const json &engine : engines)
        countOrders(engine, counts);
    return counts;
}

std::string lineOf(const std::string &scenario, int point, const tally &counts)
{
    std::ostringstream line;
    line << "scenario=" << scenario << " requests=" << counts.requests << " whole=" << counts.whole
         << " not_run=" << counts.notRun << " may_have_run=" << counts.mayHaveRun
         << " doubled=" << counts.doubled << " cut=" << counts.cut
         << " false_not_run=" << counts.falseNotRun << " stale_orders=" << counts.staleOrders
         << " point=" << point;
    return line.str();
}

} // namespace poplarspool::faults
