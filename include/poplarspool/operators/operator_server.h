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
    policy::member instance;
    bool inForce = false; ///< The instance has applied the accepted configuration.
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

/// State of the fleet as seen by one instance; printed by `poplarspool status`.
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
/// @returns Human-readable text: the accepted version, the number of instances that applied it, and
///          tables of the instances and the runners.
std::string textOf(const fleet_status &status);

struct operator_handlers
{
    std::function<fleet_status()> status;
    /// Events of all instances that reply, in causal order.
    std::function<std::vector<event>(const event_filter &)> timeline;
    std::function<result<apply_reply>(const apply_request &)> apply;
    /// The accepted configuration, read from the store (readConfig()).
    std::function<result<stored_config>()> config;
};

/// Parses the body of a /status reply.
/// @returns Broken if the body is not a valid status.
result<fleet_status> parseFleetStatus(std::string_view json);

/// @returns The number of listed instances that aren't dead.
std::size_t countLiveInstances(const fleet_status &status);

/// @returns Whether `version` is applied by every listed instance that isn't dead.
bool isInForce(const fleet_status &status, std::uint64_t version);

/// HTTP server for operators on a separate address: /status, /timeline, /metrics, /config. If the
/// settings contain the hash of a key, requests without this bearer key are rejected with 401.
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
