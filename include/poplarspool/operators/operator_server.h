#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/operators/config_store.h"
#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>
#include <string>
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
};

/// HTTP for operators, on an address of its own: /status, /timeline, /metrics, /config. Where the
/// settings name a key, nothing is answered without it.
class operator_server
{
public:
    operator_server(endpoint bind, std::string keySha256, operator_handlers handlers,
                    metrics_registry &metrics);
    ~operator_server();
    result<endpoint> start();
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::operators
