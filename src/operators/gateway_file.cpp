#include "operators/file_keys.h"
#include "operators/value_rules.h"

#include <utility>
#include <vector>

namespace poplarspool::operators {

namespace {

using gateway::gateway_settings;
using std::chrono::seconds;

constexpr std::size_t maxDuties = 16;

/// Bounds of the times that limit how late a change of the store takes effect: below 500 ms a watch
/// could not wait for changes, above 60 s a change would count as late.
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
                           "Availability zone that it stands in."),
            requiredKey<s>("caller.address", "", &s::callerAddress, endpointRule(),
                           "Where callers send requests, as they are told it."),
            requiredKey<s>("readiness.address", "", &s::readinessAddress, endpointRule(),
                           "Where the platform asks whether callers may come."),
            requiredKey<s>("directory.address", "", &s::directoryAddress, endpointRule(),
                           "Where callers ask which instances to connect to."),
            optionalKey<s>("directory.keep_seconds", "s", &s::addressKeepTime,
                           timeRule<seconds>(seconds(1), seconds(60)),
                           "For which callers may keep that answer."),
            requiredKey<s>("peer.address", "", &s::peerAddress, endpointRule(),
                           "Between instances: UDP."),
            requiredKey<s>("peer.load_address", "", &s::loadAddress, endpointRule(),
                           "Between instances: UDP, for news of load."),
            optionalKey<s>("peer.share_store_news", "", &s::sharesStoreNews, flagRule(),
                           "Few instances follow the store for all, and tell the others at the "
                           "port after peer.address's; else each follows it by itself."),
            requiredKey<s>("metrics.address", "", &s::metricsAddress, endpointRule(),
                           "Where metrics are read, at /metrics."),
            requiredKey<s>("store.address", "", &s::storeAddress, endpointRule(),
                           "The platform's metadata store."),
            optionalKey<s>("store.settle_ms", "ms", &s::settleTime, updateDelayRule(),
                           "For which news may be late after the store was away or silent."),
            optionalKey<s>("store.runners_ms", "ms", &s::runnersBound, updateDelayRule(),
                           "After it has said so, a runner that leaves gets no new request."),
            optionalKey<s>("store.routes_ms", "ms", &s::routesBound, updateDelayRule(),
                           "After the store has taken them, new routes are in force."),
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
            optionalKey<s>("retries.share", "", &s::retryShare, realRule(0, 1),
                           "Sends beyond each request's first, as a share of the requests."),
            optionalKey<s>("retries.extra", "", &s::retryExtra, realRule(0, 100000),
                           "Beside the share, of all instances together."),
            optionalKey<s>("orders.lease_ms", "ms", &s::leaseBound,
                           timeRule<milliseconds>(milliseconds(100), milliseconds(60000)),
                           "By which orders of two instances to engines are apart at least."),
            optionalKey<s>("duties.address", "", &s::dutyAddress, endpointRule(),
                           "Of the platform, for calls that one instance at a time makes."),
            optionalKey<s>("duties.kinds", "", &s::dutyKinds,
                           listRule(textRule(1, config::maxNameBytes), maxDuties),
                           "Which of these calls are wanted: accounting reports usage, scaling "
                           "orders runners; others are left to the platform."),
            optionalKey<s>("scaling.spot", "", &s::ordersSpot, flagRule(),
                           "Spot runners take the place of regular ones; else none are ordered."),
            optionalKey<s>("duties.usage_window_seconds", "s", &s::usageWindowSeconds,
                           realRule(0.5, 86400),
                           "Of true time, that one report of usage is about."),
            optionalKey<s>("duties.usage_late_seconds", "s", &s::usageLateSeconds,
                           realRule(1, 86400), "After a window's end, when its report is late."),
            optionalKey<s>("workspaces.strict_revoke", "", &s::isRevokeStrict, flagRule(),
                           "Without the store's word for workspaces.revoke_ms, no key is good any "
                           "more; else the last known ones are."),
            optionalKey<s>("workspaces.revoke_ms", "ms", &s::revokeTime,
                           timeRule<milliseconds>(milliseconds(500), milliseconds(600000)),
                           "Age of the last known keys, for workspaces.strict_revoke."),
            optionalKey<s>("leave.seconds", "s", &s::leaveSeconds, realRule(1, 600),
                           "From SIGTERM to the end of the process."),
            optionalKey<s>("log.level", "", &s::logLevel, level,
                           "Least level written to standard output."),
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
                   {"peer.share_store_news", gateway::newsAddressOf(choices)},
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
