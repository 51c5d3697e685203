#include "operators/wire_json.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/operators/operator_server.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace poplarspool::operators {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using policy::member;
using policy::member_state;

ordered_json jsonOf(const instance_status &status)
{
    const member &instance = status.instance;
    return {{"instance", instance.id.text},
            {"zone", instance.zone.text},
            {"state", policy::nameOf(instance.state)},
            {"caller_address", textOf(instance.callerAddress)},
            {"peer_address", textOf(instance.peerAddress)},
            {"incarnation", instance.incarnation},
            {"applied_version", instance.appliedVersion},
            {"open_streams", instance.openStreams},
            {"in_force", status.inForce}};
}

ordered_json jsonOf(const runner_status &status)
{
    return {{"runner", status.runner},
            {"pool", status.pool},
            {"health", status.health},
            {"role", status.role},
            {"draining", status.isDraining},
            {"reserved", status.isReserved},
            {"running", status.running},
            {"queued", status.queued},
            {"kv_pieces_used", status.kvPiecesUsed},
            {"kv_pieces_total", status.kvPiecesTotal}};
}

member_state stateOf(const std::string &name)
{
    constexpr std::array states{member_state::Alive, member_state::Suspect, member_state::Leaving,
                                member_state::Dead};
    const auto found = std::find_if(states.begin(), states.end(), [&name](member_state state) {
        return policy::nameOf(state) == name;
    });
    return found == states.end() ? member_state::Suspect : *found;
}

endpoint endpointOf(const json &value)
{
    const auto parsed = parseEndpoint(value.get<std::string>());
    return succeeded(parsed) ? valueOf(parsed) : endpoint{};
}

instance_status instanceOf(const json &value)
{
    member instance;
    instance.id.text = value.at("instance").get<std::string>();
    instance.zone.text = value.at("zone").get<std::string>();
    instance.state = stateOf(value.at("state").get<std::string>());
    instance.callerAddress = endpointOf(value.at("caller_address"));
    instance.peerAddress = endpointOf(value.at("peer_address"));
    instance.incarnation = value.at("incarnation").get<incarnation_number>();
    instance.appliedVersion = value.at("applied_version").get<std::uint64_t>();
    instance.openStreams = value.at("open_streams").get<std::uint32_t>();
    return {instance, value.at("in_force").get<bool>()};
}

runner_status runnerOf(const json &value)
{
    return {value.at("runner").get<std::string>(),
            value.at("pool").get<std::string>(),
            value.at("health").get<std::string>(),
            value.at("role").get<std::string>(),
            value.at("draining").get<bool>(),
            value.at("reserved").get<bool>(),
            value.at("running").get<std::uint32_t>(),
            value.at("queued").get<std::uint32_t>(),
            value.at("kv_pieces_used").get<std::uint32_t>(),
            value.at("kv_pieces_total").get<std::uint32_t>()};
}

bool isCounted(const instance_status &status)
{
    return status.instance.state != member_state::Dead;
}

struct in_force_count
{
    std::size_t applied = 0;
    std::size_t total = 0;
};

in_force_count countInForce(const fleet_status &status)
{
    in_force_count count;
    for (const instance_status &entry : status.instances) {
        count.total += isCounted(entry) ? 1 : 0;
        count.applied += isCounted(entry) && entry.inForce ? 1 : 0;
    }
    return count;
}

/// @returns The lines with their columns aligned.
std::string alignColumns(const std::vector<std::vector<std::string>> &lines)
{
    std::vector<std::size_t> widths;
    for (const auto &line : lines) {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t column = 0; column < line.size(); ++column)
            widths[column] = std::max(widths[column], line[column].size());
    }
    std::ostringstream out;
    for (const auto &line : lines) {
        for (std::size_t column = 0; column + 1 < line.size(); ++column)
            out << std::left << std::setw(static_cast<int>(widths[column] + 2)) << line[column];
        out << line.back() << '\n';
    }
    return out.str();
}

std::string stateText(const runner_status &status)
{
    std::string text = status.health;
    if (status.isDraining)
        text += ",draining";
    if (status.isReserved)
        text += ",reserved";
    return text;
}

std::string instanceLines(const fleet_status &status)
{
    std::vector<std::vector<std::string>> lines{
            {"INSTANCE", "ZONE", "STATE", "ADDRESS", "STREAMS", "APPLIED", "IN FORCE"}};
    for (const instance_status &entry : status.instances)
        lines.push_back(
                {entry.instance.id.text, entry.instance.zone.text,
                 std::string(policy::nameOf(entry.instance.state)),
                 textOf(entry.instance.callerAddress), std::to_string(entry.instance.openStreams),
                 std::to_string(entry.instance.appliedVersion), entry.inForce ? "yes" : "no"});
    return alignColumns(lines);
}

std::string runnerLines(const fleet_status &status)
{
    std::vector<std::vector<std::string>> lines{
            {"RUNNER", "POOL", "STATE", "ROLE", "RUNNING", "QUEUED", "KV PIECES"}};
    for (const runner_status &entry : status.runners)
        lines.push_back(
                {entry.runner, entry.pool, stateText(entry), entry.role,
                 std::to_string(entry.running), std::to_string(entry.queued),
                 std::to_string(entry.kvPiecesUsed) + '/' + std::to_string(entry.kvPiecesTotal)});
    return alignColumns(lines);
}

} // namespace

std::string jsonOf(const fleet_status &status)
{
    ordered_json instances = ordered_json::array();
    for (const instance_status &entry : status.instances)
        instances.push_back(jsonOf(entry));
    ordered_json runners = ordered_json::array();
    for (const runner_status &entry : status.runners)
        runners.push_back(jsonOf(entry));
    const in_force_count count = countInForce(status);
    return dumpJson({{"answered_by", status.answeredBy.text},
                     {"accepted_version", status.acceptedVersion},
                     {"in_force_on", count.applied},
                     {"in_force_of", count.total},
                     {"fresh", status.isFresh},
                     {"store_reachable", status.isStoreReachable},
                     {"instances", std::move(instances)},
                     {"runners", std::move(runners)}});
}

std::string textOf(const fleet_status &status)
{
    const in_force_count count = countInForce(status);
    std::ostringstream out;
    out << "answered by " << status.answeredBy.text << '\n'
        << "configuration " << status.acceptedVersion << " accepted, in force on " << count.applied
        << " of " << count.total << '\n'
        << "view " << (status.isFresh ? "fresh" : "not fresh: new requests are refused")
        << ", store " << (status.isStoreReachable ? "reachable" : "not reachable") << "\n\n"
        << instanceLines(status) << '\n'
        << runnerLines(status);
    return out.str();
}

result<fleet_status> parseFleetStatus(std::string_view text)
{
    try {
        const json value = parseJsonOrThrow(text);
        fleet_status status;
        status.answeredBy.text = value.at("answered_by").get<std::string>();
        status.acceptedVersion = value.at("accepted_version").get<std::uint64_t>();
        status.isFresh = value.at("fresh").get<bool>();
        status.isStoreReachable = value.at("store_reachable").get<bool>();
        for (const json &entry : value.at("instances"))
            status.instances.push_back(instanceOf(entry));
        for (const json &entry : value.at("runners"))
            status.runners.push_back(runnerOf(entry));
        return status;
    } catch (const json::exception &failure) {
        return notRun(error_code::Broken,
                      std::string("cannot parse the status reply: ") + failure.what());
    }
}

std::size_t countLiveInstances(const fleet_status &status)
{
    return countInForce(status).total;
}

bool isInForce(const fleet_status &status, std::uint64_t version)
{
    // An instance that hasn't received the change yet reports the previous version as in force.
    if (status.acceptedVersion < version)
        return false;
    const in_force_count count = countInForce(status);
    return count.total > 0 && count.applied == count.total;
}

} // namespace poplarspool::operators
