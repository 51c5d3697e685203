#pragma once

#include "base/connection_threads.h"
#include "base/socket.h"
#include "gateway/link_table.h"
#include "gateway/tunnel_message.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/gateway/catalogue.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace poplarspool::gateway {

struct tunnel_server_dependencies
{
    endpoint address; ///< TCP address at which tunnels are requested.
    tunnel_sender self;
    const catalogue_publisher &publisher;
    link_table &links;
    /// Whether the runner wants no requests from this instance.
    std::function<bool(const runner &)> isWithdrawn;
    metrics_registry &metrics;
    journal &events;
};

/// Carries connections of other instances to runners that they can't reach themselves. A tunnel is
/// carried to listed runners only and over this instance's own link only, so that no tunnel leads
/// through two carriers.
class tunnel_server
{
public:
    explicit tunnel_server(tunnel_server_dependencies given);
    ~tunnel_server();

    result<unit> start();
    /// Rejects new tunnels; those that exist go on.
    void announceShutdown() { isLeaving = true; }
    /// Waits until all tunnels have ended.
    /// @param deadline Tunnels that are left then may be reset.
    void awaitEnds(socket_deadline deadline);
    /// Resets the tunnels that are left.
    void stop();
    /// @returns The numbers of the instances whose connections to the runner are carried now.
    std::vector<std::uint64_t> usersOf(const runner_id &target) const;

private:
    void acceptUntilStopped();
    void serve(descriptor near);
    void carry(descriptor near, descriptor far, const runner_id &target, std::uint64_t user);
    tunnel_outcome connectFor(const tunnel_request &request, descriptor &far);
    runner_entry targetOf(const tunnel_request &request) const;

    const tunnel_server_dependencies dependencies;
    counter &served;
    counter &rejected;
    counter &bytesCarried;
    gauge &open;
    std::atomic<bool> isLeaving{false};
    mutable std::mutex usersGuard;
    std::condition_variable usersChanged;
    std::multimap<runner_id, std::uint64_t> users; ///< One entry for each tunnel.
    descriptor listener;
    pollable_flag stopping;
    connection_threads threads;
    std::thread acceptor;
};

} // namespace poplarspool::gateway
