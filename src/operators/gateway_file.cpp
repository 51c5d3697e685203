#include "operators/file_keys.h"
#include "operators/value_rules.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/operators/limits.h"

#include <utility>
#include <vector>

namespace poplarspool::operators {

namespace {

using gateway::gateway_settings;
using std::chrono::seconds;

constexpr std::size_t maxDuties = 16;

/// Bounds of the settings that limit how late a change of the store takes effect. Below 500 ms, a
/// watch would have no time to wait for changes; above 60 s, a change would come too late to be
/// useful.
auto updateDelayRule()
{
    return timeRule<milliseconds>(milliseconds(500), milliseconds(60000));
}

table_keys<gateway_settings> addressKeys()
{
    using s = gateway_settings;
    return {
            requiredKey<s>("instance", "", &s::instance, idRule<instance_id>(nameRule()),
                           "Name of this instance, unique among those of one store."),
            requiredKey<s>("zone", "", &s::zone, idRule<zone_id>(nameRule()),
                           "Availability zone of this instance."),
            requiredKey<s>("caller.address", "", &s::callerAddress, endpointRule(),
                           "Address for callers' requests, as published to callers."),
            requiredKey<s>("readiness.address", "", &s::readinessAddress, endpointRule(),
                           "Address of the platform's readiness check."),
            requiredKey<s>("directory.address", "", &s::directoryAddress, endpointRule(),
                           "Address where callers get the list of instances to connect to."),
            optionalKey<s>("directory.keep_seconds", "s", &s::addressKeepTime,
                           timeRule<seconds>(seconds(1), seconds(60)),
                           "Time for which callers may cache that list."),
            requiredKey<s>("peer.address", "", &s::peerAddress, endpointRule(),
                           "Address for messages between instances (UDP), and for the connections "
                           "to runners that they carry for each other (TCP). The third port after "
                           "it carries rate limits, the fourth which software version began which "
                           "stream."),
            optionalKey<s>("peer.key", "", &s::peerKey,
                           secretRule(config::minPeerKeyBytes, config::maxPeerKeyBytes),
                           "Secret with which instances authenticate each other; without it, it is "
                           "derived from store.address, which only keeps out stray messages."),
            requiredKey<s>("peer.load_address", "", &s::loadAddress, endpointRule(),
                           "Address for load updates between instances (UDP)."),
            optionalKey<s>("peer.share_store_news", "", &s::sharesStoreUpdates, flagRule(),
                           "A few instances watch the store and relay its changes to the others, "
                           "on the port after that of peer.address; otherwise every instance "
                           "watches the store itself."),
            optionalKey<s>(
                    "load.ranked_waiting", "", &s::usesRankedWaiting, flagRule(),
                    "Where there are workspaces: a request waits at an engine only for "
                    "requests of its rank or a higher one; otherwise its wait includes all."),
            optionalKey<s>("load.fair_shares", "", &s::usesFairShares, flagRule(),
                           "Where there are workspaces: while capacity is short, requests of a "
                           "workspace above its fair share are served after all others."),
            optionalKey<s>("load.engine_speeds", "", &s::learnsEngineSpeeds, flagRule(),
                           "The speed of each engine is learnt from its prefill times and used for "
                           "placement; otherwise all engines of a service and stage count alike."),
            requiredKey<s>("metrics.address", "", &s::metricsAddress, endpointRule(),
                           "Address of the metrics endpoint, /metrics."),
            requiredKey<s>("store.address", "", &s::storeAddress, endpointRule(),
                           "Address of the platform's metadata store."),
            optionalKey<s>("store.settle_ms", "ms", &s::settleTime, updateDelayRule(),
                           "Time after an outage or silence of the store during which its changes "
                           "may arrive late."),
            optionalKey<s>("store.runners_ms", "ms", &s::runnersBound, updateDelayRule(),
                           "Maximum time from a runner's announcement that it leaves until it gets "
                           "no new requests."),
            optionalKey<s>("store.routes_ms", "ms", &s::routesBound, updateDelayRule(),
                           "Maximum time from the store's acceptance of new routes until they are "
                           "in force."),
    };
}

table_keys<gateway_settings> boundKeys()
{
    using s = gateway_settings;
    const auto level = choiceRule<std::string>({{"debug", "debug"},
                                                {"info", "info"},
                                                {"warn", "warn"},
                                                {"error", "error"},
                                                {"off", "off"}});
    return {
            optionalKey<s>(
                    "retries.share", "", &s::retryShare, realRule(0, 1),
                    "Tries beyond the first one of each request, as a share of the requests."),
            optionalKey<s>("retries.extra", "", &s::retryExtra, realRule(0, 100000),
                           "Tries allowed in addition to the share, for all instances together."),
            optionalKey<s>("orders.lease_ms", "ms", &s::leaseBound,
                           timeRule<milliseconds>(milliseconds(100), milliseconds(60000)),
                           "Minimum time between orders to engines from two different instances."),
            optionalKey<s>("duties.address", "", &s::dutyAddress, endpointRule(),
                           "Platform address for calls that only one instance makes at a time."),
            optionalKey<s>("duties.kinds", "", &s::dutyKinds,
                           listRule(textRule(1, config::maxNameBytes), maxDuties),
                           "Enabled kinds of these calls: accounting reports usage, scaling orders "
                           "runners; other kinds are left to the platform."),
            optionalKey<s>("scaling.spot", "", &s::usesSpotRunners, flagRule(),
                           "Whether spot runners are ordered in place of regular ones."),
            optionalKey<s>("duties.usage_window_seconds", "s", &s::usageWindowSeconds,
                           realRule(0.5, 86400),
                           "Length of the window of one usage report, in true time."),
            optionalKey<s>("duties.usage_late_seconds", "s", &s::usageLateSeconds,
                           realRule(1, 86400),
                           "Time after the end of a window at which its report is late."),
            optionalKey<s>("workspaces.strict_revoke", "", &s::isRevokeStrict, flagRule(),
                           "Whether all keys are rejected when the store has not confirmed them "
                           "for workspaces.revoke_ms; otherwise the last known keys stay valid."),
            optionalKey<s>("workspaces.revoke_ms", "ms", &s::revokeTime,
                           timeRule<milliseconds>(milliseconds(500), milliseconds(600000)),
                           "Maximum age of the last known keys, with workspaces.strict_revoke."),
            optionalKey<s>("limits.memory_mb", "MiB", &s::memoryMb,
                           realRule(config::minMemoryMb, config::maxMemoryMb),
                           "Memory with which the platform kills the process; requests that do not "
                           "fit into their part of it are answered with 503."),
            optionalKey<s>("leave.seconds", "s", &s::leaveSeconds, realRule(1, 600),
                           "Time from SIGTERM to the end of the process."),
            optionalKey<s>("log.level", "", &s::logLevel, level,
                           "Minimum level written to standard output."),
    };
}

table_keys<gateway_settings> allKeys()
{
    table_keys<gateway_settings> keys = addressKeys();
    for (key_decl<gateway_settings> &declared : boundKeys())
        keys.push_back(std::move(declared));
    return keys;
}

using named_address = std::pair<std::string, endpoint>;

/// Reports addresses that are used twice; binding the second socket would fail.
void checkDistinct(const std::vector<named_address> &bound, const toml::table &root,
                   diagnostic_sink &diagnostics)
{
    for (std::size_t i = 0; i < bound.size(); ++i) {
        for (std::size_t k = 0; k < i; ++k) {
            if (bound[i].second.isValid() && bound[i].second == bound[k].second)
                diagnostics.add(regionOf(root, bound[i].first), bound[i].first,
                                "is the same address as " + bound[k].first);
        }
    }
}

void checkAddresses(const gateway_settings &choices, const toml::table &root,
                    diagnostic_sink &diagnostics)
{
    checkDistinct({{"caller.address", choices.callerAddress},
                   {"readiness.address", choices.readinessAddress},
                   {"directory.address", choices.directoryAddress},
                   {"metrics.address", choices.metricsAddress}},
                  root, diagnostics);
    checkDistinct({{"peer.address", choices.peerAddress},
                   {"peer.load_address", choices.loadAddress},
                   {"peer.share_store_news", gateway::updateAddressOf(choices)},
                   {"duties.kinds", gateway::usageAddressOf(choices)}},
                  root, diagnostics);
}

} // namespace

const table_keys<gateway_settings> &gatewayKeys()
{
    static const table_keys<gateway_settings> keys = allKeys();
    return keys;
}

parse_result<gateway_settings> parseGatewaySettings(const std::string &file, std::string_view text)
{
    diagnostic_sink diagnostics(file);
    gateway_settings choices;
    const toml::table root = parseToml(text, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    readTable(root, "", gatewayKeys(), choices, diagnostics);
    checkAddresses(choices, root, diagnostics);
    if (!diagnostics.isEmpty())
        return diagnostics.sorted();
    return choices;
}

} // namespace poplarspool::operators
