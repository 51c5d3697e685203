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
    const member &who = status.who;
    return {{"instance", who.id.text},
            {"zone", who.zone.text},
            {"state", policy::nameOf(who.state)},
            {"caller_address", textOf(who.callerAddress)},
            {"peer_address", textOf(who.peerAddress)},
            {"incarnation", who.life},
            {"applied_version", who.appliedVersion},
            {"open_streams", who.openStreams},
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
    member who;
    who.id.text = value.at("instance").get<std::string>();
    who.zone.text = value.at("zone").get<std::string>();
    who.state = stateOf(value.at("state").get<std::string>());
    who.callerAddress = endpointOf(value.at("caller_address"));
    who.peerAddress = endpointOf(value.at("peer_address"));
    who.life = value.at("incarnation").get<incarnation>();
    who.appliedVersion = value.at("applied_version").get<std::uint64_t>();
    who.openStreams = value.at("open_streams").get<std::uint32_t>();
    return {who, value.at("in_force").get<bool>()};
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

bool counts(const instance_status &status)
{
    return status.who.state != member_state::Dead;
}

struct share_in_force
{
    std::size_t on = 0;
    std::size_t of = 0;
};

share_in_force shareOf(const fleet_status &status)
{
    share_in_force share;
    for (const instance_status &one : status.instances) {
        share.of += counts(one) ? 1 : 0;
        share.on += counts(one) && one.inForce ? 1 : 0;
    }
    return share;
}

/// Lines whose columns stand below each other.
std::string columnsOf(const std::vector<std::vector<std::string>> &lines)
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
    for (const instance_status &one : status.instances)
        lines.push_back({one.who.id.text, one.who.zone.text,
                         std::string(policy::nameOf(one.who.state)), textOf(one.who.callerAddress),
                         std::to_string(one.who.openStreams),
                         std::to_string(one.who.appliedVersion), one.inForce ? "yes" : "no"});
    return columnsOf(lines);
}

std::string runnerLines(const fleet_status &status)
{
    std::vector<std::vector<std::string>> lines{
            {"RUNNER", "POOL", "STATE", "ROLE", "RUNNING", "QUEUED", "KV PIECES"}};
    for (const runner_status &one : status.runners)
        lines.push_back(
                {one.runner, one.pool, stateText(one), one.role, std::to_string(one.running),
                 std::to_string(one.queued),
                 std::to_string(one.kvPiecesUsed) + '/' + std::to_string(one.kvPiecesTotal)});
    return columnsOf(lines);
}

} // namespace

std::string jsonOf(const fleet_status &status)
{
    ordered_json instances = ordered_json::array();
    for (const instance_status &one : status.instances)
        instances.push_back(jsonOf(one));
    ordered_json runners = ordered_json::array();
    for (const runner_status &one : status.runners)
        runners.push_back(jsonOf(one));
    const share_in_force share = shareOf(status);
    return dumpJson({{"answered_by", status.answeredBy.text},
                     {"accepted_version", status.acceptedVersion},
                     {"in_force_on", share.on},
                     {"in_force_of", share.of},
                     {"fresh", status.isFresh},
                     {"store_reachable", status.isStoreReachable},
                     {"instances", std::move(instances)},
                     {"runners", std::move(runners)}});
}

std::string textOf(const fleet_status &status)
{
    const share_in_force share = shareOf(status);
    std::ostringstream out;
    out << "answered by " << status.answeredBy.text << '\n'
        << "configuration " << status.acceptedVersion << " accepted, in force on " << share.on
        << " of " << share.of << '\n'
        << "view " << (status.isFresh ? "fresh" : "not fresh: new work is refused") << ", store "
        << (status.isStoreReachable ? "reachable" : "not reachable") << "\n\n"
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
        for (const json &one : value.at("instances"))
            status.instances.push_back(instanceOf(one));
        for (const json &one : value.at("runners"))
            status.runners.push_back(runnerOf(one));
        return status;
    } catch (const json::exception &failure) {
        return notRun(error_code::Broken, std::string("unreadable status: ") + failure.what());
    }
}

std::size_t countListed(const fleet_status &status)
{
    return shareOf(status).of;
}

bool isInForce(const fleet_status &status, std::uint64_t version)
{
    // An instance that hasn't heard of the change yet calls the one before in force.
    if (status.acceptedVersion < version)
        return false;
    const share_in_force share = shareOf(status);
    return share.of > 0 && share.on == share.of;
}

} // namespace poplarspool::operators
