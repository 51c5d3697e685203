#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/published.h"
#include "poplarspool/base/store_version.h"
#include "poplarspool/gateway/runner_set.h"
#include "poplarspool/scaling/traits.h"
#include "poplarspool/workspaces/workspaces.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration and state a gateway routes by: routes, services and runners. All of these are
/// plain immutable values.
namespace poplarspool::gateway {

/// Whether a request that has been sent once may be sent again.
enum class retry_policy {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< Retried only if the previous try is known not to have been executed.
};

struct weighted_service
{
    service_id service;
    std::uint32_t weight = 0;

    bool operator==(const weighted_service &) const = default;
};

struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool isStream = false; ///< The response is a stream of events.
    /// A broken stream can be resumed on another runner after its last event.
    bool isResumable = false;
    retry_policy retryPolicy = retry_policy::AtMostOnce;
    milliseconds timeLimit{0}; ///< Maximum time that a caller waits for a response.
    /// Latency objective: time to the first event of a stream, or to the complete response.
    milliseconds latencyObjective{0};
    std::uint32_t rank = 0; ///< Priority; 0 is the highest.
    std::uint32_t maxRunners = 1; ///< Maximum number of runners a request may be sent to.
    /// Traffic is split over these by weight. If empty, requests are refused.
    std::vector<weighted_service> services;
    /// The configured host or path prefix can't be parsed. A request that matches no other route
    /// may belong to this one.
    bool hasInvalidMatch = false;
    bool allowsAnonymous = false; ///< Callers need no API key.

    bool operator==(const route &) const = default;
};

/// Properties of a service whose runners are model engines.
struct engine_traits
{
    std::uint32_t batch = 0; ///< Requests that one engine runs concurrently.
    std::uint64_t kvTokens = 0; ///< Capacity of the KV cache, in tokens.
    std::uint64_t kvBytesPerToken = 0;
    double linkMbps = 0; ///< Bandwidth between engines, in Mbit/s.

    bool operator==(const engine_traits &) const = default;
};

struct service
{
    service_id id;
    std::optional<engine_traits> engine; ///< Empty for services that are not model engines.
    /// Empty if the service can't be scaled.
    std::optional<poplarspool::scaling::fleet_traits> scaling = {};

    bool operator==(const service &) const = default;
};

/// Size limits and timeouts for what callers send.
struct caller_request_limits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    milliseconds headerTimeout{0}; ///< Maximum time to receive the request header.
    milliseconds idleTimeout{0}; ///< Connections idle for less than this are kept open.

    bool operator==(const caller_request_limits &) const = default;
};

/// One version of the operators' routing configuration. Immutable; a new version replaces it.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_request_limits callerLimits;
    bool needsKeys = false; ///< Callers must present the API key of a workspace.
    std::vector<poplarspool::workspaces::workspace> workspaces;
    /// A workspace or one of its keys can't be parsed, so an unknown key may still be valid.
    bool hasUnreadableKeys = false;

    bool operator==(const route_table &) const = default;
};

struct route_index;

/// The only software version that a service's runners have, and since when this instance has seen
/// no other.
struct sole_version
{
    version_key version = 0;
    mono_time since{};

    bool operator==(const sole_version &) const = default;
};

/// The services whose runners have one version. A service without runners keeps its last one.
using sole_version_map = std::map<service_id, sole_version>;

sole_version_map updateSoleVersions(const sole_version_map &before, const runner_set &runners,
                                    mono_time now);

/// The state that request handling reads, as one consistent snapshot.
struct catalogue
{
    std::shared_ptr<const route_table> table; ///< Null until the first one is received.
    std::shared_ptr<const route_index> index; ///< Index of `table`; null if that is null.
    /// Never null. Shared, so that a new confirmation copies no runners.
    std::shared_ptr<const runner_set> runners = std::make_shared<const runner_set>();
    /// Never null. Of `runners`.
    std::shared_ptr<const sole_version_map> soleVersions =
            std::make_shared<const sole_version_map>();
    bool areRunnersKnown = false; ///< The list of runners has been received at least once.
    mono_time tableConfirmedAt{}; ///< When the store last confirmed `table` as the latest.
    mono_time runnersConfirmedAt{}; ///< The same for `runners`.
    store_version runnersVersion; ///< Store version as of `runnersConfirmedAt`.

    bool operator==(const catalogue &) const = default;
};

using catalogue_publisher = published<catalogue>;

/// Picks a service of the route for a random number, in proportion to the weights.
/// @param draw Uniformly distributed over all values.
/// @returns An invalid id if all weights are 0.
service_id pickServiceByWeight(const route &chosen, std::uint64_t draw);

/// @returns Null if the table has no such service.
const service *findService(const route_table &table, const service_id &id);

} // namespace poplarspool::gateway
