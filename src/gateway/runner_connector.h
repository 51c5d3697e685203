#pragma once

#include "base/connection_pool.h"
#include "gateway/carrier_choice.h"
#include "gateway/cut_off_instances.h"
#include "gateway/link_table.h"
#include "gateway/tunnel_message.h"
#include "gateway/unframed_services.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/gateway/runner.h"

#include <functional>

namespace poplarspool::gateway {

/// A connection to a runner.
struct runner_connection
{
    descriptor connection;
    bool isTunnel = false; ///< Carried by another instance.
    instance_id carrier; ///< Of a new tunnel.
    endpoint carrierAddress; ///< For gossip; only of a tunnel.
};

/// A connection that was idle, for whoever returns it unused.
struct idle_runner_connection
{
    runner_connection connection;
    milliseconds idleTimeLeft{0};
};

struct runner_connector_dependencies
{
    tunnel_sender self;
    zone_id zone;
    connection_pool &direct;
    link_table &links;
    const cut_off_instances &cutOff;
    /// All instances that are not known to be dead.
    std::function<std::vector<policy::member>()> members;
    /// Called when there is a link to probe or to check. Must not block.
    std::function<void()> wakeProber;
    const clock_source clock;
    metrics_registry &metrics;
    journal &events;
};

/// Connects requests to runners: directly, or through another instance if only others reach the
/// runner. A connection that fails is checked with another instance at once. If that one reaches
/// the runner, the link is broken: its connection is used, and until the link is restored no
/// request waits for a direct one.
class runner_connector
{
public:
    explicit runner_connector(runner_connector_dependencies given);

    /// @returns An idle connection, or a new one.
    result<runner_connection> acquire(const runner &target, socket_deadline deadline,
                                      int interruptFd);
    /// @returns A new connection.
    result<runner_connection> connect(const runner &target, socket_deadline deadline,
                                      int interruptFd);
    /// Keeps a connection for reuse. Its last reply must be complete.
    void release(const runner &target, runner_connection connection, milliseconds idleTime);
    /// Keeps a connection on which nothing was sent.
    void releaseUnused(const runner &target, runner_connection connection);

    /// Records that a call has had no news from its runner for a while.
    void recordSilentCall(const runner_id &target);
    /// Checks with another instance whether the link of a runner is broken.
    /// @param end How a direct connection failed.
    void checkLink(const runner &target, connect_end end);
    /// @returns Whether the runner's host refuses connections, from another instance as well.
    bool hasEnded(const runner &target);

    /// @param like A connection to the runner: the result goes the same way, directly or over the
    ///             same carrier.
    /// @param releasedBy Time by which the result has been idle, so that its reply before that time
    ///                   is complete.
    /// @returns An idle connection; a closed one if there is none.
    idle_runner_connection acquireOlder(const runner &target, const runner_connection &like,
                                        socket_deadline releasedBy);
    /// @returns A new connection that goes the same way as another one.
    result<runner_connection> connectLike(const runner &target, const runner_connection &like,
                                          socket_deadline deadline);

    /// Marks the link as sound.
    void recordReached(const runner_id &target);
    bool isBroken(const runner_id &target) const { return dependencies.links.isBroken(target); }
    link_table &links() { return dependencies.links; }
    unframed_services &unframed() { return unframedServices; }
    connection_pool &direct() { return dependencies.direct; }

    /// Closes the idle tunnels. Tunnels released later are closed.
    void stop() { tunnels.stop(); }

private:
    descriptor acquireIdleTunnel(const endpoint &target);
    struct opened_tunnel
    {
        runner_connection connection;
        tunnel_outcome outcome = tunnel_outcome::Rejected;
    };

    std::vector<policy::member> carriersFor(const runner &target);
    opened_tunnel openTunnel(const runner &target, socket_deadline deadline, int interruptFd);
    opened_tunnel openTunnelAt(const policy::member &carrier, const runner &target,
                               socket_deadline deadline, int interruptFd);
    void recordBroken(const runner &target, connect_end end, const instance_id &carrier);

    const runner_connector_dependencies dependencies;
    counter &opened;
    counter &failed;
    gauge &brokenLinks;
    std::atomic<std::uint64_t> draws{0};
    failed_carriers failures;
    unframed_services unframedServices;
    connection_pool tunnels; ///< Idle ones, by the runner's address.
};

} // namespace poplarspool::gateway
