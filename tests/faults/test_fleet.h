#pragma once

#include "faults/child_process.h"
#include "faults/store_fault_proxy.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarspool::faults {

/// The files and addresses that a scenario uses.
struct scenario_environment
{
    std::string build; ///< Holds the programs.
    std::string folder; ///< Holds this scenario's settings and logs.
    /// Third byte of all its addresses, 127.NETWORK.SUBNET.x; NETWORK depends on the process id of
    /// this program.
    std::uint32_t subnet = 0;
};

struct fleet_spec
{
    std::size_t instances = 3;
    std::size_t engines = 2;
    std::size_t services = 1;
    bool checksFence = true; ///< Engines refuse orders with an outdated fencing token.
    std::vector<std::string> engineOptions; ///< For the first engine only.
    std::uint32_t serviceWorkMs = 20;
    /// Each instance reaches the platform through its own store_fault_proxy.
    bool hasStoreProxies = false;
    std::uint32_t drainSeconds = 20;
};

/// The settings of inventory and rules that scenarios vary; all others are fixed.
struct config_variant
{
    std::string version = "1"; ///< Version of the model that the engines serve.
    std::string role = "mixed"; ///< Role of all engines.
    std::set<std::size_t> draining = {}; ///< Indices of the engines to drain.
};

/// The answer to a configuration change.
struct change_result
{
    std::uint64_t version = 0; ///< 0 if the change was not accepted, or if that is unknown.
    std::string verdict; ///< Set unless the change was accepted: `not_run` or `may_have_run`.
    std::string detail; ///< The error as JSON text, set along with `verdict`.
};

/// A small fleet of real processes, with a stand-in platform, engines and services. Instances,
/// engines and services are each indexed from 0.
class test_fleet
{
public:
    test_fleet(const scenario_environment &environment, const fleet_spec &spec);
    ~test_fleet();

    /// Starts an additional instance.
    /// @returns Its index.
    std::size_t addInstance();
    /// Kills the instance if it runs, and starts it again under the same name.
    void restartInstance(std::size_t index);
    /// Kills the instance and removes it from the platform's instance list.
    void killInstance(std::size_t index);
    /// Changes only the platform's instance list; the process is not affected.
    void addToInstanceList(std::size_t index, bool isLeaving = false);
    void removeFromInstanceList(std::size_t index);

    child_process &instance(std::size_t index) { return *instances.at(index); }
    child_process &engine(std::size_t index) { return *engines.at(index); }
    store_fault_proxy &storeProxy(std::size_t index) { return *storeProxies.at(index); }
    /// Kills an engine after saving its records for allEngineRecords().
    void killEngine(std::size_t index);
    void restartEngine(std::size_t index);

    endpoint callerAddress(std::size_t index) const;
    /// @returns The caller addresses of all instances ever started, also of those that have ended.
    std::vector<endpoint> callerAddresses() const;
    /// @returns The index that the name of an instance or a runner ends with.
    static std::size_t indexInName(const std::string &name);

    // Fault injection through the stand-ins; see docs/API-PLATFORM.md and docs/API-ENGINES.md.
    void injectPlatformFault(const nlohmann::json &fault);
    /// Delays the instance list that the platform returns.
    void setInstanceListLag(std::uint32_t ms);
    void injectEngineFault(std::size_t index, const nlohmann::json &fault);
    void injectServiceFault(const nlohmann::json &fault); ///< On all services.

    /// Sends a configuration change to one instance.
    /// @param nonce Identifies the change when it is repeated; random if empty.
    /// @param ifVersion The change is refused unless this is the accepted version.
    change_result apply(std::size_t index, const config_variant &variant,
                        const std::string &nonce = "", std::optional<std::uint64_t> ifVersion = {});
    /// Applies a change, and waits until it is in force on all running instances.
    /// @returns The accepted version.
    /// @throws expectation_failed If that takes longer than the safety timeout.
    std::uint64_t applyAndWait(const config_variant &variant);
    /// Waits until the version is in force on all running instances.
    /// @param except Instances not to wait for, since they are frozen or disconnected.
    void waitInForce(std::uint64_t version, const std::set<std::size_t> &except = {});
    /// @returns Null if the instance does not answer.
    nlohmann::json status(std::size_t index);
    /// @returns The instance's gossip state as reported by the observing instance; empty if the
    ///          observer does not know the instance, or does not answer.
    std::string stateOf(std::size_t index, std::size_t observer);
    /// @returns Whether the observing instance answers and considers the instance dead or no longer
    ///          knows it.
    bool isDeadOrUnknown(std::size_t index, std::size_t observer);
    /// @returns Whether the instance's timeline has an event of that kind.
    bool hasEvent(std::size_t index, const std::string &kind);

    // Records kept by the stand-ins.
    nlohmann::json engineRecords(std::size_t index);
    /// @returns The number of requests that the engine has started.
    std::uint64_t startedRequests(std::size_t index);
    /// @returns The records of all running engines, and those saved by killEngine().
    std::vector<nlohmann::json> allEngineRecords();
    /// @returns The number of runs on all services by idempotency key.
    std::map<std::string, std::uint64_t> serviceRuns();
    /// @returns Whether the engine serves that model version and is not in a change.
    bool hasVersion(std::size_t index, const std::string &version);

private:
    void startInstance(std::size_t index);
    void startEngine(std::size_t index);
    std::string hostAddress(std::size_t last) const;
    endpoint platformAddress() const;
    endpoint storeProxyAddress(std::size_t index) const;
    endpoint operatorAddress(std::size_t index) const;
    endpoint peerAddress(std::size_t index) const;
    endpoint engineAddress(std::size_t index) const;
    endpoint serviceAddress(std::size_t index) const;
    std::string settingsText(std::size_t index) const;
    std::string inventoryText(const config_variant &variant) const;
    std::string rulesText() const;
    std::unique_ptr<child_process> spawn(const std::string &name,
                                         std::vector<std::string> arguments);
    nlohmann::json call(const endpoint &to, const std::string &method, const std::string &path,
                        const nlohmann::json &body = nullptr);
    void waitUntilAnswering(const endpoint &to, const std::string &path);

    const scenario_environment environment;
    const fleet_spec spec;
    metrics_registry metrics;
    http_pool pool;
    std::unique_ptr<child_process> platform;
    std::vector<std::unique_ptr<store_fault_proxy>> storeProxies;
    std::vector<std::unique_ptr<child_process>> engines;
    std::vector<std::unique_ptr<child_process>> services;
    /// Declared after the other processes, so that the instances are ended before them.
    std::vector<std::unique_ptr<child_process>> instances;
    std::vector<nlohmann::json> savedRecords;
};

} // namespace poplarspool::faults
