#include "operators/file_keys.h"
#include "operators/value_rules.h"

#include <limits>

namespace poplarspool::operators {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t maxBytes = 64 * 1024 * 1024;
constexpr std::size_t maxSeeds = 64;

void add(table_keys<settings> &keys, table_keys<settings> more)
{
    for (key_decl<settings> &declared : more)
        keys.push_back(std::move(declared));
}

table_keys<settings> identityKeys()
{
    using s = settings;
    return {
            requiredKey<s>("instance", "", &s::instance, idRule<instance_id>(nameRule()),
                           "Name of this instance, unique in the deployment."),
            requiredKey<s>("zone", "", &s::zone, idRule<zone_id>(nameRule()),
                           "Availability zone that it stands in."),
            requiredKey<s>("deployment", "", &s::deployment, nameRule(),
                           "Prefix of all its objects in the store; the same everywhere."),
    };
}

table_keys<settings> callerKeys()
{
    using s = settings;
    const auto headerBytes = [](s & choices) -> auto &
    {
        return choices.callerLimits.headerBytes;
    };
    const auto bodyBytes = [](s & choices) -> auto &
    {
        return choices.callerLimits.bodyBytes;
    };
    const auto connections = [](s & choices) -> auto &
    {
        return choices.callerLimits.connections;
    };
    const auto readTime = [](s & choices) -> auto &
    {
        return choices.callerLimits.readTime;
    };
    const auto writeTime = [](s & choices) -> auto &
    {
        return choices.callerLimits.writeTime;
    };
    const auto keepAlive = [](s & choices) -> auto &
    {
        return choices.callerLimits.keepAliveTime;
    };
    const auto perConnection = [](s & choices) -> auto &
    {
        return choices.callerLimits.keepAliveRequests;
    };
    const auto time = timeRule<milliseconds>(milliseconds(100), milliseconds(600000));
    return {
            requiredKey<s>("caller.address", "", &s::callerAddress, endpointRule(),
                           "Where callers connect, as they are told it."),
            optionalKey<s>("caller.limits.header_bytes", "bytes", headerBytes,
                           integerRule<std::size_t>(1024, maxBytes),
                           "Of one request's headers; more is answered with 431."),
            optionalKey<s>("caller.limits.body_bytes", "bytes", bodyBytes,
                           integerRule<std::size_t>(1024, maxBytes),
                           "Of one request's body; more is answered with 413."),
            optionalKey<s>("caller.limits.connections", "", connections,
                           integerRule<std::uint32_t>(1, 65536),
                           "Connections held open; one thread each. More are refused with 503."),
            optionalKey<s>("caller.limits.streams", "", &s::maxStreams,
                           integerRule<std::uint32_t>(1, 65536),
                           "Requests served at the same time."),
            optionalKey<s>("caller.limits.read_time_ms", "ms", readTime, time,
                           "In which a whole request must have arrived."),
            optionalKey<s>("caller.limits.write_time_ms", "ms", writeTime, time,
                           "For which one write may block before the caller is given up."),
            optionalKey<s>("caller.limits.keep_alive_ms", "ms", keepAlive, time,
                           "Idle time after which a connection is closed."),
            optionalKey<s>("caller.limits.keep_alive_requests", "", perConnection,
                           integerRule<std::size_t>(1, std::numeric_limits<std::int32_t>::max()),
                           "Requests served on one connection."),
    };
}

table_keys<settings> operatorAndPeerKeys()
{
    using s = settings;
    return {
            requiredKey<s>("operator.address", "", &s::operatorAddress, endpointRule(),
                           "Where status, time line, metrics and changes are asked for."),
            optionalKey<s>("operator.key_sha256", "", &s::operatorKeySha256, sha256Rule(),
                           "SHA-256 of the operators' bearer key; without it anyone gets in."),
            requiredKey<s>("peer.address", "", &s::peerAddress, endpointRule(),
                           "Between instances: UDP and TCP, the same port."),
            requiredKey<s>("peer.key", "", &s::peerKey,
                           secretRule(config::minPeerKeyBytes, config::maxPeerKeyBytes),
                           "Secret of all instances; authenticates every message."),
            optionalKey<s>("peer.seeds", "", &s::peerSeeds, listRule(endpointRule(), maxSeeds),
                           "Peer addresses asked besides the instance list."),
            optionalKey<s>("peer.gossip_ms", "ms", &s::gossipTime,
                           timeRule<milliseconds>(milliseconds(20), milliseconds(10000)),
                           "Between two gossip rounds."),
    };
}

table_keys<settings> platformKeys()
{
    using s = settings;
    return {
            requiredKey<s>("platform.store", "", &s::storeAddress, endpointRule(), "Object API."),
            requiredKey<s>("platform.instances", "", &s::instanceListAddress, endpointRule(),
                           "List of live and leaving instances."),
            requiredKey<s>("platform.weights", "", &s::weightStoreAddress, endpointRule(),
                           "Weight store."),
            optionalKey<s>("platform.calls_per_second", "calls/s", &s::storeCallsPerSecond,
                           realRule(1, 1000), "Calls to the object API in the long run."),
            optionalKey<s>("platform.call_burst", "calls", &s::storeCallBurst, realRule(1, 10000),
                           "Calls to the object API at once."),
            optionalKey<s>("platform.call_time_ms", "ms", &s::storeCallTime,
                           timeRule<milliseconds>(milliseconds(50), milliseconds(60000)),
                           "Time for one call to the object API."),
    };
}

table_keys<settings> otherKeys()
{
    using s = settings;
    const auto level = choiceRule<std::string>({{"debug", "debug"},
                                                {"info", "info"},
                                                {"warn", "warn"},
                                                {"error", "error"},
                                                {"off", "off"}});
    return {
            optionalKey<s>("leave.grace_seconds", "s", &s::leaveGrace,
                           timeRule<milliseconds>(seconds(1), seconds(3600)),
                           "Served on after a shutdown began; address_keep_seconds of the rules "
                           "where that is longer."),
            optionalKey<s>("leave.bound_seconds", "s", &s::leaveBound,
                           timeRule<milliseconds>(seconds(1), seconds(86400)),
                           "After which a shutdown waits for open streams no longer; no shorter "
                           "than leave.grace_seconds."),
            optionalKey<s>("runner.poll_ms", "ms", &s::loadPollTime,
                           timeRule<milliseconds>(milliseconds(10), milliseconds(10000)),
                           "Between two load reports taken from one runner."),
            optionalKey<s>("plan.look_ms", "ms", &s::planTime,
                           timeRule<milliseconds>(milliseconds(50), milliseconds(60000)),
                           "Between two looks of a planner at its pool."),
            optionalKey<s>("log.level", "", &s::logLevel, level,
                           "Least level written to standard error."),
            optionalKey<s>("log.ring", "events", &s::eventRingSize,
                           integerRule<std::size_t>(16, 1048576),
                           "Events kept for the time line; the oldest is dropped first."),
    };
}

table_keys<settings> allKeys()
{
    table_keys<settings> keys = identityKeys();
    add(keys, callerKeys());
    add(keys, operatorAndPeerKeys());
    add(keys, platformKeys());
    add(keys, otherKeys());
    return keys;
}

/// Reports servers on the same address, where the second one could not bind. The peer address
/// counts too, since peers also connect by TCP.
void checkAddresses(const settings &choices, const toml::table &root, diagnostic_sink &diagnostics)
{
    const auto report = [&](const std::string &key, const std::string &other) {
        diagnostics.add(regionOf(root, key), key, "is the same address as " + other);
    };
    if (choices.operatorAddress.isValid() && choices.operatorAddress == choices.callerAddress)
        report("operator.address", "caller.address");
    if (choices.peerAddress.isValid() && choices.peerAddress == choices.callerAddress)
        report("peer.address", "caller.address");
    if (choices.peerAddress.isValid() && choices.peerAddress == choices.operatorAddress)
        report("peer.address", "operator.address");
}

void checkLeave(const settings &choices, const toml::table &root, diagnostic_sink &diagnostics)
{
    if (choices.leaveBound >= choices.leaveGrace)
        return;
    const auto inSeconds = [](milliseconds time) {
        return std::to_string(std::chrono::duration_cast<seconds>(time).count());
    };
    diagnostics.add(regionOf(root, "leave.bound_seconds"), "leave.bound_seconds",
                    "is " + inSeconds(choices.leaveBound)
                            + ", expected at least leave.grace_seconds, "
                            + inSeconds(choices.leaveGrace));
}

} // namespace

const table_keys<settings> &settingsKeys()
{
    static const table_keys<settings> keys = allKeys();
    return keys;
}

parse_result<settings> parseSettings(const std::string &file, std::string_view text)
{
    diagnostic_sink diagnostics(file);
    settings choices;
    const toml::table root = parseToml(text, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    readTable(root, "", settingsKeys(), choices, diagnostics);
    checkAddresses(choices, root, diagnostics);
    checkLeave(choices, root, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    return choices;
}

} // namespace poplarspool::operators
