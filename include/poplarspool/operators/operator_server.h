#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/operators/config_store.h"
#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::operators {

struct instance_status
{
    policy::member who;
    bool inForce = false; ///< Has the accepted configuration applied.
};

struct runner_status
{
    std::string runner;
    std::string pool;
    std::string health;
    std::string role;
    bool isDraining = false;
    bool isReserved = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t kvPiecesUsed = 0;
    std::uint32_t kvPiecesTotal = 0;
};

/// What `poplarspool status` shows.
struct fleet_status
{
    instance_id answeredBy;
    std::uint64_t acceptedVersion = 0;
    bool isFresh = false;
    bool isStoreReachable = false;
    std::vector<instance_status> instances;
    std::vector<runner_status> runners;
};

std::string jsonOf(const fleet_status &status);
/// @returns Lines for people: accepted version, in force on N of M, instances, runners.
std::string textOf(const fleet_status &status);

struct operator_handlers
{
    std::function<fleet_status()> status;
    /// Events of all instances that answer, cause before effect.
    std::function<std::vector<event>(const event_filter &)> timeline;
    std::function<result<apply_reply>(const apply_request &)> apply;
    /// The accepted configuration, read from the store (readConfig()).
    std::function<result<stored_config>()> config;
};

/// @returns A /status answer as the commands read it; Broken where it isn't one.
result<fleet_status> parseFleetStatus(std::string_view json);

/// @returns The listed instances that aren't dead.
std::size_t countListed(const fleet_status &status);

/// @returns Whether `version` is applied by every listed instance that isn't dead.
bool isInForce(const fleet_status &status, std::uint64_t version);

/// HTTP for operators, on an address of its own: /status, /timeline, /metrics, /config. Where the
/// settings name a key, nothing is answered without it.
class operator_server
{
public:
    operator_server(const endpoint &bind, std::string keySha256, operator_handlers handlers,
                    metrics_registry &metrics, journal &events);
    ~operator_server();
    result<endpoint> start();
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::operators
