#include "gateway/runner_connector.h"

#include "peer/call_wire.h"
#include "peer/numeric_address.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

std::string_view nameOf(connect_end end)
{
    return end == connect_end::Silent ? "silent" : "refused";
}

/// An answer that shows nothing about the runner.
bool isCarrierAtFault(tunnel_outcome outcome)
{
    return outcome == tunnel_outcome::CutOff || outcome == tunnel_outcome::Rejected;
}

} // namespace

runner_connector::runner_connector(runner_connector_dependencies given)
    : dependencies(std::move(given)),
      opened(dependencies.metrics.counterOf("poplarspool_tunnels_opened_total{end=\"connected\"}")),
      failed(dependencies.metrics.counterOf("poplarspool_tunnels_opened_total{end=\"failed\"}")),
      brokenLinks(dependencies.metrics.gaugeOf("poplarspool_broken_links")),
      failures(dependencies.clock), unframedServices(dependencies.clock),
      tunnels(config::maxIdleRunnerConnections, config::runnerConnectTimeout, dependencies.metrics)
{ }

/// An instance that leaves takes no new tunnels, and a request on one that it has kept would be cut
/// as it ends.
descriptor runner_connector::acquireIdleTunnel(const endpoint &target)
{
    const auto members = dependencies.members();
    while (true) {
        descriptor idle = tunnels.acquireIdle(target);
        if (!idle.isOpen())
            return idle;
        const auto carrier = std::ranges::find(members, peer::remoteAddress(idle.get()),
                                               &policy::member::peerAddress);
        if (carrier != members.end() && carrier->state == policy::member_state::Alive)
            return idle;
    }
}

result<runner_connection> runner_connector::acquire(const runner &target, socket_deadline deadline,
                                                    int interruptFd)
{
    const bool isDirect = !isBroken(target.id);
    descriptor idle = isDirect ? dependencies.direct.acquireIdle(target.address)
                               : acquireIdleTunnel(target.address);
    if (idle.isOpen()) {
        const endpoint carrier = isDirect ? endpoint{} : peer::remoteAddress(idle.get());
        return runner_connection{std::move(idle), !isDirect, {}, carrier};
    }
    return connect(target, deadline, interruptFd);
}

result<runner_connection> runner_connector::connect(const runner &target, socket_deadline deadline,
                                                    int interruptFd)
{
    if (isBroken(target.id)) {
        const auto end = std::min(deadline, socket_clock::now() + config::tunnelOpenTimeout);
        opened_tunnel tunnel = openTunnel(target, end, interruptFd);
        if (tunnel.outcome == tunnel_outcome::Connected)
            return std::move(tunnel.connection);
        return notRun(error_code::Unavailable,
                      "no instance carries a connection to runner " + target.id.text + ": "
                              + std::string(gateway::nameOf(tunnel.outcome)));
    }
    connect_result made = dependencies.direct.tryConnect(target.address, deadline, interruptFd);
    if (made.end == connect_end::Connected) {
        recordReached(target.id);
        return runner_connection{std::move(made.connection), false, {}, {}};
    }
    error failure = connectErrorOf(target.address, made);
    if (made.end != connect_end::Refused && made.end != connect_end::Silent)
        return failure;
    const auto end = std::min(deadline, socket_clock::now() + config::linkCheckTimeout);
    opened_tunnel tunnel = openTunnel(target, end, interruptFd);
    if (tunnel.outcome != tunnel_outcome::Connected)
        return failure;
    recordBroken(target, made.end, tunnel.connection.carrier);
    return std::move(tunnel.connection);
}

void runner_connector::release(const runner &target, runner_connection connection,
                               milliseconds idleTime)
{
    connection_pool &pool = connection.isTunnel ? tunnels : dependencies.direct;
    pool.release(target.address, std::move(connection.connection), idleTime);
}

void runner_connector::releaseUnused(const runner &target, runner_connection connection)
{
    connection_pool &pool = connection.isTunnel ? tunnels : dependencies.direct;
    pool.releaseUnused(target.address, std::move(connection.connection), config::runnerIdleTime);
}

void runner_connector::recordSilentCall(const runner_id &target)
{
    if (dependencies.links.recordSilentCall(target))
        dependencies.wakeProber();
}

void runner_connector::checkLink(const runner &target, connect_end end)
{
    const auto deadline = socket_clock::now() + config::tunnelOpenTimeout;
    opened_tunnel tunnel = openTunnel(target, deadline, -1);
    if (tunnel.outcome != tunnel_outcome::Connected)
        return;
    recordBroken(target, end, tunnel.connection.carrier);
    releaseUnused(target, std::move(tunnel.connection));
}

bool runner_connector::hasEnded(const runner &target)
{
    const auto deadline = socket_clock::now() + config::endedCheckTimeout;
    if (!isBroken(target.id) && !isConnectionRefused(target.address, deadline))
        return false;
    if (carriersFor(target).empty())
        return !dependencies.links.isCutOff();
    const tunnel_outcome outcome =
            openTunnel(target, socket_clock::now() + config::endedCheckTimeout, -1).outcome;
    return outcome == tunnel_outcome::Refused || outcome == tunnel_outcome::Unlisted;
}

idle_runner_connection runner_connector::acquireOlder(const runner &target,
                                                      const runner_connection &like,
                                                      socket_deadline releasedBy)
{
    const auto goesTheSameWay = [&like](int fd) {
        return !like.isTunnel || peer::remoteAddress(fd) == like.carrierAddress;
    };
    connection_pool &pool = like.isTunnel ? tunnels : dependencies.direct;
    pooled_connection older = pool.acquireOlder(target.address, releasedBy, goesTheSameWay);
    return {{std::move(older.connection), like.isTunnel, {}, like.carrierAddress},
            older.idleTimeLeft};
}

result<runner_connection> runner_connector::connectLike(const runner &target,
                                                        const runner_connection &like,
                                                        socket_deadline deadline)
{
    if (!like.isTunnel) {
        auto made = dependencies.direct.connect(target.address, deadline, -1);
        if (!succeeded(made))
            return errorOf(made);
        return runner_connection{std::move(valueOf(made)), false, {}, {}};
    }
    const auto members = dependencies.members();
    const auto carrier =
            std::ranges::find(members, like.carrierAddress, &policy::member::peerAddress);
    if (carrier == members.end())
        return notRun(error_code::Unavailable, "carrier is gone");
    opened_tunnel tunnel = openTunnelAt(*carrier, target, deadline, -1);
    if (tunnel.outcome != tunnel_outcome::Connected)
        return notRun(error_code::Unavailable, "carrier opens no further tunnel");
    return std::move(tunnel.connection);
}

void runner_connector::recordReached(const runner_id &target)
{
    const bool wasCutOff = dependencies.links.isCutOff();
    if (!dependencies.links.recordReached(target) && !wasCutOff)
        return;
    brokenLinks.set(static_cast<std::int64_t>(dependencies.links.brokenCount()));
    dependencies.events.emit("link_restored",
                             {{"runner", target.text}, {"all", wasCutOff ? "yes" : "no"}});
}

void runner_connector::recordBroken(const runner &target, connect_end end,
                                    const instance_id &carrier)
{
    const bool wasCutOff = dependencies.links.isCutOff();
    const bool isNew = dependencies.links.recordBroken(target.id, end);
    if (isNew) {
        brokenLinks.set(static_cast<std::int64_t>(dependencies.links.brokenCount()));
        dependencies.events.emit(
                "link_broken",
                {{"runner", target.id.text},
                 {"connect", std::string(nameOf(end))},
                 {"carrier", carrier.text},
                 {"all", dependencies.links.isCutOff() && !wasCutOff ? "yes" : "no"}});
    }
    dependencies.wakeProber();
}

std::vector<policy::member> runner_connector::carriersFor(const runner &target)
{
    const std::uint64_t draw = hashOf(dependencies.self.instance.text + target.id.text, ++draws);
    const auto candidates = dependencies.cutOff.without(dependencies.members());
    return chooseCarriers(candidates, failures.current(),
                          {dependencies.self.instance, dependencies.zone, draw});
}

runner_connector::opened_tunnel
runner_connector::openTunnel(const runner &target, socket_deadline deadline, int interruptFd)
{
    opened_tunnel last;
    for (const policy::member &carrier : carriersFor(target)) {
        last = openTunnelAt(carrier, target, deadline, interruptFd);
        if (last.outcome == tunnel_outcome::Connected) {
            opened.add();
            return last;
        }
        if (isCarrierAtFault(last.outcome))
            failures.record(carrier);
        if (socket_clock::now() >= deadline)
            break;
    }
    failed.add();
    return last;
}

/// @returns Rejected also if the carrier doesn't answer. While it may still be waiting for the
///          runner, Silent.
runner_connector::opened_tunnel runner_connector::openTunnelAt(const policy::member &carrier,
                                                               const runner &target,
                                                               socket_deadline deadline,
                                                               int interruptFd)
{
    connect_result made = tryConnect(carrier.peerAddress, deadline, interruptFd);
    if (made.end != connect_end::Connected)
        return {};
    const std::uint64_t callId = peer::randomNumber();
    const std::string request =
            tunnelFrame(dependencies.self, callId, dependencies.events.stamp(),
                        encode(tunnel_request{carrier.id, target.id, target.startedAtMs}));
    const int fd = made.connection.get();
    const auto askedAt = socket_clock::now();
    if (sendAll(fd, request, deadline, -1).fault != socket_fault::None)
        return {};
    const auto received =
            peer::readFrame(fd, dependencies.self.key, maxTunnelPayloadBytes, deadline, -1);
    const auto *frame = std::get_if<peer::stream_frame>(&received);
    const bool isAnswer = frame != nullptr && frame->header.kind == peer::frame_kind::Tunnel
            && frame->header.callId == callId;
    if (!isAnswer) {
        const bool mayBeWaiting = socket_clock::now() - askedAt < config::runnerConnectTimeout;
        return {{}, mayBeWaiting ? tunnel_outcome::Silent : tunnel_outcome::Rejected};
    }
    const auto outcome = decodeTunnelOutcome(frame->payload);
    if (!succeeded(outcome))
        return {};
    return {{std::move(made.connection), true, carrier.id, carrier.peerAddress}, valueOf(outcome)};
}

} // namespace poplarspool::gateway
