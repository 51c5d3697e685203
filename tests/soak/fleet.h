#pragma once

#include "adapter/fake_store.h"
#include "faults/child_process.h"
#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::soak {

struct fleet_options
{
    std::string gateway; ///< Path of the program.
    std::string ownProgram; ///< That of the soak, which also is the runners.
    std::string refusedLinks; ///< Library that is loaded into the first gateway.
    std::string folder; ///< For settings and logs.
    std::size_t gateways = 4;
};

struct gateway_process
{
    std::string name;
    std::string host;
    std::unique_ptr<faults::child_process> process;
    bool isDisturbed = false; ///< Used by a fault in progress.

    endpoint callers() const { return {host, 8149}; }
    endpoint readiness() const { return {host, 8141}; }
};

/// An address at which one run of a runner after the other serves.
struct runner_place
{
    std::string name;
    std::string service;
    endpoint at;
    bool hasProcesses = false;
    std::size_t zone = 0;
    std::uint32_t runs = 0;
    std::int64_t bornMs = 0; ///< Of the newest run.
    std::string id; ///< Of the newest run.
    std::unique_ptr<faults::child_process> process; ///< Of the newest run.
    bool isDisturbed = false; ///< Used by a fault in progress.
};

/// The processes of a small deployment, and the store in this process. Only for the thread that
/// makes it: processes end with the thread that has started them.
class fleet
{
public:
    explicit fleet(fleet_options options);

    /// Starts the processes and waits until the gateways are ready.
    /// @throws faults::expectation_failed If they are not in time.
    void start();

    void startGateway(gateway_process &one);
    static bool isReady(const gateway_process &one);

    /// Starts another run at the place, with an id and an entry of its own. It waits for its
    /// address.
    /// @returns The process of the run before.
    std::unique_ptr<faults::child_process> startRun(runner_place &place, bool servesOn = false);
    /// Writes the entry of the newest run.
    void putEntry(const runner_place &place, const std::string &state);
    void removeEntry(const std::string &id) { store.remove("servers", id); }
    /// While refused, the first gateway opens no connection to runners.
    void setRefusedLinks(bool areRefused) const;

    std::vector<gateway_process> gateways;
    std::vector<runner_place> places;

private:
    std::string settingsOf(const gateway_process &one) const;
    std::string refusedFile() const { return options.folder + "/refused"; }
    void putConfig();

    const fleet_options options;
    const std::string net;
    adapter::test::fake_store store;
};

} // namespace poplarspool::soak
