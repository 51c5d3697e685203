#pragma once

#include "faults/child_process.h"
#include "faults/store_gate.h"
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

/// Where a scenario runs.
struct stage
{
    std::string build; ///< Folder of the programs.
    std::string folder; ///< Of its own: settings and logs.
    std::uint32_t net = 0; ///< All its addresses are 127.DRIVER.NET.x.
};

struct fleet_spec
{
    std::size_t instances = 3;
    std::size_t engines = 2;
    std::size_t services = 1;
    bool checksFence = true; ///< Its engines refuse orders with old fencing numbers.
    std::vector<std::string> engineOptions; ///< Of the first engine only.
    std::uint32_t serviceWorkMs = 20;
    bool isGated = false; ///< Each instance reaches the platform through a gate of its own.
    std::uint32_t drainSeconds = 20;
};

/// What operators choose; the rest of inventory and rules stays.
struct config_choice
{
    std::string version = "1"; ///< Of the model that the engines serve.
    std::string role = "mixed"; ///< Of all engines.
    std::set<std::size_t> draining = {}; ///< Engines by number.
};

/// An operator's change as it was answered.
struct change_answer
{
    std::uint64_t version = 0; ///< 0: not accepted, or not known to be.
    std::string verdict; ///< Where not accepted.
    std::string detail; ///< What was said then.
};

/// A small fleet of real processes. Instances, engines and services have numbers from 0.
class fleet
{
public:
    fleet(const stage &place, const fleet_spec &spec);
    ~fleet();

    /// Starts one more instance, or one that has ended once more under the same name.
    std::size_t addInstance();
    void restartInstance(std::size_t index);
    void killInstance(std::size_t index); ///< And takes it off the platform's list.
    /// Changes the platform's list only.
    void list(std::size_t index, bool isLeaving = false);
    void unlist(std::size_t index);

    child_process &instance(std::size_t index) { return *instances.at(index); }
    child_process &engine(std::size_t index) { return *engines.at(index); }
    store_gate &gate(std::size_t index) { return *gates.at(index); }
    /// Kills an engine, having kept its records.
    void killEngine(std::size_t index);
    void restartEngine(std::size_t index);

    endpoint callerAddress(std::size_t index) const;
    std::vector<endpoint> callerAddresses() const; ///< Of all that were started.
    /// @returns The number of the instance with that name.
    static std::size_t numberOf(const std::string &instance);

    // Faults, by the stand-ins' requests; docs/API-PLATFORM.md and docs/API-ENGINES.md.
    void platformFault(const nlohmann::json &fault);
    void platformLag(std::uint32_t ms);
    void engineFault(std::size_t index, const nlohmann::json &fault);
    void serviceFault(const nlohmann::json &fault);

    /// Asks one instance for a change.
    change_answer apply(std::size_t index, const config_choice &choice,
                        const std::string &nonce = "", std::optional<std::uint64_t> ifVersion = {});
    /// Applies, and waits until it is in force on all instances that run.
    std::uint64_t applyEverywhere(const config_choice &choice);
    /// @param except Instances that are frozen or cut off.
    void waitInForce(std::uint64_t version, const std::set<std::size_t> &except = {});
    /// @returns Null where it does not answer.
    nlohmann::json status(std::size_t index);
    std::string stateOf(std::size_t index, std::size_t asSeenBy);
    /// @returns Whether another instance takes that one for dead, or knows it no more.
    bool isGone(std::size_t index, std::size_t asSeenBy);
    /// @returns Whether that instance's time line has an event of that kind.
    bool hasEvent(std::size_t index, const std::string &kind);

    // The stand-ins' own accounts.
    nlohmann::json engineRecords(std::size_t index);
    std::uint64_t startedOn(std::size_t index); ///< Requests that the engine has taken.
    std::vector<nlohmann::json> allEngineRecords(); ///< Those kept at a kill too.
    std::map<std::string, std::uint64_t> serviceRuns(); ///< By idempotency key.
    /// @returns Whether the engine has done an order for that version.
    bool hasVersion(std::size_t index, const std::string &version);

private:
    void startInstance(std::size_t index);
    void startEngine(std::size_t index);
    std::string host(std::size_t last) const;
    endpoint platformAddress() const;
    endpoint gateAddress(std::size_t index) const;
    endpoint operatorAddress(std::size_t index) const;
    endpoint peerAddress(std::size_t index) const;
    endpoint engineAddress(std::size_t index) const;
    endpoint serviceAddress(std::size_t index) const;
    std::string settingsText(std::size_t index) const;
    std::string inventoryText(const config_choice &choice) const;
    std::string rulesText() const;
    std::unique_ptr<child_process> spawn(const std::string &name, std::vector<std::string> words);
    nlohmann::json call(const endpoint &to, const std::string &method, const std::string &path,
                        const nlohmann::json &body = nullptr);
    void waitFor(const endpoint &to, const std::string &path);

    const stage place;
    const fleet_spec spec;
    metrics_registry metrics;
    http_pool pool;
    std::unique_ptr<child_process> platform;
    std::vector<std::unique_ptr<store_gate>> gates;
    std::vector<std::unique_ptr<child_process>> engines;
    std::vector<std::unique_ptr<child_process>> services;
    std::vector<std::unique_ptr<child_process>> instances; ///< Last: they end first.
    std::vector<nlohmann::json> keptRecords;
};

} // namespace poplarspool::faults
