#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/published.h"
#include "poplarspool/base/store_version.h"
#include "poplarspool/scaling/traits.h"
#include "poplarspool/workspaces/workspaces.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What a gateway knows of the world: routes, services and runners. All plain immutable values.
namespace poplarspool::gateway {

using service_id = name_of<struct service_tag>; ///< Runners that are interchangeable.

/// What may be done with a request that has been sent once.
enum class repeat_rule {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Another send only where the first truly did not run.
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
    bool isStream = false; ///< The answer is a series of events.
    bool isResumable = false; ///< A stream may go on elsewhere after its last event.
    repeat_rule repeats = repeat_rule::AtMostOnce;
    milliseconds timeLimit{0}; ///< Longest time that a caller is kept waiting.
    milliseconds objective{
            0}; ///< Time to the first event, or to the whole answer, that is aimed at.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t maxRunners = 1; ///< Runners on which one request may run.
    std::vector<weighted_service>
            services; ///< Traffic is split over them by weight; none: refused.
    /// Its host or prefix can't be read: any request that no other route takes may be for it.
    bool isUnplaced = false;
    bool isAnonymous = false; ///< Its callers need no key.

    bool operator==(const route &) const = default;
};

/// Of services whose runners are model engines.
struct engine_traits
{
    std::uint32_t batch = 0; ///< Requests that one engine runs at once.
    std::uint64_t kvTokens = 0; ///< Memory, in tokens.
    std::uint64_t kvBytesPerToken = 0;
    double linkMbps = 0; ///< Between engines.

    bool operator==(const engine_traits &) const = default;
};

struct service
{
    service_id id;
    std::optional<engine_traits> engine; ///< None for plain services.
    std::optional<poplarspool::scaling::fleet_traits> scaling =
            {}; ///< None: nobody can order runners.

    bool operator==(const service &) const = default;
};

/// How much a caller may send, and how slowly.
struct caller_bounds
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    milliseconds headerTime{0};
    milliseconds idleTime{0}; ///< Connections idle for less than this are in use.

    bool operator==(const caller_bounds &) const = default;
};

/// One configuration of the operators; never changed, only replaced.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_bounds bounds;
    bool needsKeys = false; ///< Callers without a workspace's key are refused.
    std::vector<poplarspool::workspaces::workspace> workspaces;
    /// A workspace, or one of its keys, can't be read: a key that isn't known may be one of these.
    bool hasUnreadKeys = false;

    bool operator==(const route_table &) const = default;
};

enum class engine_stage {
    None, ///< A plain service.
    Prefill, ///< Reads prompts only.
    Decode, ///< Runs requests; reads prompts too, more slowly.
};

std::string_view nameOf(engine_stage stage);

/// A target, as it entered itself in the platform's list.
struct runner
{
    runner_id id;
    /// When it was started, in Unix milliseconds. A runner that starts again under its id holds and
    /// knows nothing of its life before. 0: it doesn't say.
    std::uint64_t bornMs = 0;
    /// Which of the runner's writes the entry came from, counted from its start; 0: it doesn't say.
    std::uint64_t writes = 0;
    service_id service;
    endpoint address;
    zone_id zone;
    std::uint32_t slots = 1; ///< Requests at once.
    bool isDraining = false;
    engine_stage stage = engine_stage::None;
    bool isSpot = false; ///< Cheaper, and may be taken away together with all of its zone.
    /// Set where it is listed no more, but may come back: not used any more from then on.
    mono_time keptUntil = mono_time::max();

    bool operator==(const runner &) const = default;
};

/// @returns Whether two entries of a runner differ at most in which of its writes they are.
bool saysTheSame(const runner &one, runner other);

using runner_map = std::map<runner_id, std::shared_ptr<const runner>>;

struct route_index;

/// Everything that a request's path reads of the world.
struct catalogue
{
    std::shared_ptr<const route_table> table; ///< Null: none is known yet.
    std::shared_ptr<const route_index> index; ///< Of the table; null where that is.
    runner_map runners;
    bool areRunnersKnown = false; ///< The list was read at least once.
    mono_time tableConfirmedAt{}; ///< When the store last said that the table is the newest.
    mono_time runnersConfirmedAt{}; ///< The same of the list of runners.
    store_version runnersVersion; ///< Of the store, at that time.

    bool operator==(const catalogue &) const = default;
};

using catalogue_hub = published<catalogue>;

/// @param draw Any number, evenly spread.
/// @returns The service that the draw falls on by weight; invalid where all weights are 0.
service_id drawService(const route &chosen, std::uint64_t draw);

const service *findService(const route_table &table, const service_id &id);

} // namespace poplarspool::gateway
