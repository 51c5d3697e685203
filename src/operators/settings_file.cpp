#include "operators/file_keys.h"
#include "operators/value_rules.h"
#include "poplarspool/operators/limits.h"

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
                           "Availability zone of this instance."),
            requiredKey<s>("deployment", "", &s::deployment, nameRule(),
                           "Prefix of all its objects in the store; the same on all instances."),
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
        return choices.callerLimits.readTimeout;
    };
    const auto writeTime = [](s & choices) -> auto &
    {
        return choices.callerLimits.writeTimeout;
    };
    const auto keepAlive = [](s & choices) -> auto &
    {
        return choices.callerLimits.keepAliveTimeout;
    };
    const auto perConnection = [](s & choices) -> auto &
    {
        return choices.callerLimits.keepAliveRequests;
    };
    const auto time = timeRule<milliseconds>(milliseconds(100), milliseconds(600000));
    return {
            requiredKey<s>("caller.address", "", &s::callerAddress, endpointRule(),
                           "Address where callers connect, as published to callers."),
            optionalKey<s>(
                    "caller.limits.header_bytes", "bytes", headerBytes,
                    integerRule<std::size_t>(1024, maxBytes),
                    "Maximum size of a request's headers; a larger request is answered with 431."),
            optionalKey<s>(
                    "caller.limits.body_bytes", "bytes", bodyBytes,
                    integerRule<std::size_t>(1024, maxBytes),
                    "Maximum size of a request's body; a larger request is answered with 413."),
            optionalKey<s>("caller.limits.connections", "", connections,
                           integerRule<std::uint32_t>(1, 65536),
                           "Maximum number of open connections, each with its own thread; more are "
                           "refused with 503."),
            optionalKey<s>("caller.limits.streams", "", &s::maxStreams,
                           integerRule<std::uint32_t>(1, 65536),
                           "Maximum number of requests served at the same time."),
            optionalKey<s>("caller.limits.read_time_ms", "ms", readTime, time,
                           "Time within which a whole request must arrive."),
            optionalKey<s>(
                    "caller.limits.write_time_ms", "ms", writeTime, time,
                    "Time for which one write may block before the caller is considered gone."),
            optionalKey<s>("caller.limits.keep_alive_ms", "ms", keepAlive, time,
                           "Idle time after which a connection is closed."),
            optionalKey<s>("caller.limits.keep_alive_requests", "", perConnection,
                           integerRule<std::size_t>(1, std::numeric_limits<std::int32_t>::max()),
                           "Maximum number of requests served on one connection."),
    };
}

table_keys<settings> operatorAndPeerKeys()
{
    using s = settings;
    return {
            requiredKey<s>("operator.address", "", &s::operatorAddress, endpointRule(),
                           "Address of the operator interface: status, timeline, metrics and "
                           "configuration."),
            optionalKey<s>("operator.key_sha256", "", &s::operatorKeySha256, sha256Rule(),
                           "SHA-256 of the operators' bearer key; without it, no key is required."),
            requiredKey<s>("peer.address", "", &s::peerAddress, endpointRule(),
                           "Address for messages between instances, UDP and TCP on the same port."),
            requiredKey<s>("peer.key", "", &s::peerKey,
                           secretRule(config::minPeerKeyBytes, config::maxPeerKeyBytes),
                           "Secret shared by all instances; authenticates every message."),
            optionalKey<s>("peer.seeds", "", &s::peerSeeds, listRule(endpointRule(), maxSeeds),
                           "Peer addresses contacted in addition to those of the instance list."),
            optionalKey<s>("peer.gossip_ms", "ms", &s::gossipInterval,
                           timeRule<milliseconds>(milliseconds(20), milliseconds(10000)),
                           "Interval between gossip rounds."),
    };
}

table_keys<settings> platformKeys()
{
    using s = settings;
    return {
            requiredKey<s>("platform.store", "", &s::storeAddress, endpointRule(),
                           "Address of the object API."),
            requiredKey<s>("platform.instances", "", &s::instanceListAddress, endpointRule(),
                           "Address of the list of live and leaving instances."),
            requiredKey<s>("platform.weights", "", &s::weightStoreAddress, endpointRule(),
                           "Address of the weight store."),
            optionalKey<s>("platform.calls_per_second", "calls/s", &s::storeCallsPerSecond,
                           realRule(1, 1000), "Long-term rate limit of calls to the object API."),
            optionalKey<s>("platform.call_burst", "calls", &s::storeCallBurst, realRule(1, 10000),
                           "Burst limit of calls to the object API."),
            optionalKey<s>("limits.memory_mb", "MiB", &s::memoryMb,
                           realRule(config::minMemoryMb, config::maxMemoryMb),
                           "Memory with which the platform kills the process; requests that do not "
                           "fit into their part of it are answered with 503."),
            optionalKey<s>("platform.call_time_ms", "ms", &s::storeCallTimeout,
                           timeRule<milliseconds>(milliseconds(50), milliseconds(60000)),
                           "Time limit of one call to the object API."),
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
            optionalKey<s>("leave.grace_seconds", "s", &s::leaveGraceTime,
                           timeRule<milliseconds>(seconds(1), seconds(3600)),
                           "Time for which the instance serves on after a shutdown began; "
                           "address_keep_seconds of the rules where that is longer."),
            optionalKey<s>("leave.bound_seconds", "s", &s::maxLeaveTime,
                           timeRule<milliseconds>(seconds(1), seconds(86400)),
                           "Time after which a shutdown no longer waits for open streams; at least "
                           "leave.grace_seconds."),
            optionalKey<s>("runner.poll_ms", "ms", &s::loadPollInterval,
                           timeRule<milliseconds>(milliseconds(10), milliseconds(10000)),
                           "Interval between load reports from one runner."),
            optionalKey<s>("plan.look_ms", "ms", &s::planInterval,
                           timeRule<milliseconds>(milliseconds(50), milliseconds(60000)),
                           "Interval between iterations of the planner of a pool."),
            optionalKey<s>("log.level", "", &s::logLevel, level,
                           "Minimum level written to standard error."),
            optionalKey<s>("log.ring", "events", &s::eventRingSize,
                           integerRule<std::size_t>(16, 1048576),
                           "Events kept for the timeline; the oldest is dropped first."),
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

/// Reports addresses that are used twice; binding the second socket would fail. This includes the
/// peer address, since peers also connect by TCP.
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
    if (choices.maxLeaveTime >= choices.leaveGraceTime)
        return;
    const auto inSeconds = [](milliseconds time) {
        return std::to_string(std::chrono::duration_cast<seconds>(time).count());
    };
    diagnostics.add(regionOf(root, "leave.bound_seconds"), "leave.bound_seconds",
                    "is " + inSeconds(choices.maxLeaveTime)
                            + ", expected at least leave.grace_seconds, "
                            + inSeconds(choices.leaveGraceTime));
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
