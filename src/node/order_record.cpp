#include "poplarspool/node/orders.h"

#include "poplarspool/base/bounded_json.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace poplarspool::node {

namespace {

using nlohmann::json;

std::string_view nameOf(order_phase phase)
{
    switch (phase) {
    case order_phase::Draining:
        return "draining";
    case order_phase::Open:
        return "open";
    case order_phase::Settled:
        break;
    }
    return "settled";
}

std::optional<order_phase> phaseOf(std::string_view name)
{
    for (const auto phase : {order_phase::Draining, order_phase::Open, order_phase::Settled}) {
        if (nameOf(phase) == name)
            return phase;
    }
    return std::nullopt;
}

json jsonOf(const policy::wanted_engine &wanted)
{
    json models = json::array();
    for (const policy::model_version &each : wanted.models)
        models.push_back({{"model", each.model}, {"version", each.version}});
    return {{"role", policy::nameOf(wanted.role)}, {"models", std::move(models)}};
}

std::optional<policy::wanted_engine> wantedOf(const json &entry)
{
    const auto role = policy::engineRoleOf(entry.at("role").get<std::string>());
    if (!role)
        return std::nullopt;
    policy::wanted_engine wanted;
    wanted.role = *role;
    for (const json &each : entry.at("models"))
        wanted.models.push_back(
                {each.at("model").get<std::string>(), each.at("version").get<std::string>()});
    return wanted;
}

std::optional<order_record> recordOf(const json &entry)
{
    const auto phase = phaseOf(entry.at("phase").get<std::string>());
    auto wanted = wantedOf(entry.at("wanted"));
    if (!phase || !wanted)
        return std::nullopt;
    order_record record;
    record.runner.text = entry.at("runner").get<std::string>();
    record.fence = entry.at("fence").get<std::uint64_t>();
    record.phase = *phase;
    record.wanted = std::move(*wanted);
    record.nonce = entry.at("nonce").get<std::string>();
    record.writer.text = entry.at("writer").get<std::string>();
    record.wallMs = entry.at("wall_ms").get<std::int64_t>();
    return record;
}

} // namespace

std::string textOf(const order_record &record)
{
    const json entry = {{"runner", record.runner.text},  {"fence", record.fence},
                        {"phase", nameOf(record.phase)}, {"wanted", jsonOf(record.wanted)},
                        {"nonce", record.nonce},         {"writer", record.writer.text},
                        {"wall_ms", record.wallMs}};
    return entry.dump();
}

result<order_record> parseOrderRecord(std::string_view text)
{
    try {
        auto record = recordOf(parseJsonOrThrow(text));
        if (record)
            return std::move(*record);
    } catch (const json::exception &fault) {
        return notRun(error_code::Broken, std::string("order record: ") + fault.what());
    }
    return notRun(error_code::Broken, "order record: unknown phase or role");
}

} // namespace poplarspool::node
