#include "gateway/tunnel_server.h"

#include "base/connect.h"
#include "gateway/byte_carrier.h"
#include "peer/call_wire.h"
#include "peer/listen.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace poplarspool::gateway {

namespace {

/// Pause after a failed accept: while the process is out of descriptors, the listener stays
/// readable.
constexpr milliseconds acceptPause{100};

tunnel_outcome outcomeOf(connect_end end)
{
    switch (end) {
    case connect_end::Connected:
        return tunnel_outcome::Connected;
    case connect_end::Refused:
        return tunnel_outcome::Refused;
    default:
        return tunnel_outcome::Silent;
    }
}

} // namespace

tunnel_server::tunnel_server(tunnel_server_dependencies given)
    : dependencies(std::move(given)),
      served(dependencies.metrics.counterOf("poplarspool_tunnels_carried_total")),
      rejected(dependencies.metrics.counterOf("poplarspool_tunnels_rejected_total")),
      bytesCarried(dependencies.metrics.counterOf("poplarspool_tunnel_bytes_total")),
      open(dependencies.metrics.gaugeOf("poplarspool_tunnels_open")),
      threads("tunnels", config::maxCarriedTunnels,
              stepFailureReporterOf(dependencies.events, dependencies.metrics))
{ }

tunnel_server::~tunnel_server()
{
    stop();
}

result<unit> tunnel_server::start()
{
    auto bound = peer::listenOn(dependencies.address);
    if (!succeeded(bound))
        return errorOf(bound);
    listener = std::move(valueOf(bound));
    acceptor = startNamedThread("tunnel_accept", [this] { acceptUntilStopped(); });
    return unit{};
}

void tunnel_server::awaitEnds(socket_deadline deadline)
{
    std::unique_lock lock(usersGuard);
    usersChanged.wait_until(lock, deadline, [this] { return users.empty(); });
}

void tunnel_server::stop()
{
    stopping.raise();
    if (acceptor.joinable())
        acceptor.join();
    threads.join();
    listener.reset();
}

void tunnel_server::acceptUntilStopped()
{
    while (!stopping.isRaised()) {
        if (waitForSocket(listener.get(), POLLIN, socket_clock::now() + config::maxConfiguredTime,
                          stopping.descriptorNumber())
            != socket_fault::None)
            continue;
        const int fd = accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno != EAGAIN && errno != ECONNABORTED)
                waitForSocket(-1, 0, socket_clock::now() + acceptPause,
                              stopping.descriptorNumber());
            continue;
        }
        auto near = std::make_shared<descriptor>(fd);
        if (!threads.run([this, near] { serve(std::move(*near)); }))
            rejected.add();
    }
}

void tunnel_server::serve(descriptor near)
{
    setNoDelay(near.get());
    const auto deadline = socket_clock::now() + config::tunnelOpenTimeout;
    const auto received = peer::readFrame(near.get(), dependencies.self.key, maxTunnelPayloadBytes,
                                          deadline, stopping.descriptorNumber());
    const auto *frame = std::get_if<peer::stream_frame>(&received);
    if (frame == nullptr || frame->header.kind != peer::frame_kind::Tunnel)
        return;
    const auto request = decodeTunnelRequest(frame->payload);
    descriptor far;
    const tunnel_outcome outcome =
            succeeded(request) ? connectFor(valueOf(request), far) : tunnel_outcome::Rejected;
    const std::string answer = tunnelFrame(dependencies.self, frame->header.callId,
                                           dependencies.events.stamp(), encode(outcome));
    const auto answerEnd = socket_clock::now() + config::tunnelOpenTimeout;
    const bool isAnswered =
            sendAll(near.get(), answer, answerEnd, stopping.descriptorNumber()).fault
            == socket_fault::None;
    if (!isAnswered || outcome != tunnel_outcome::Connected) {
        rejected.add();
        return;
    }
    served.add();
    carry(std::move(near), std::move(far), valueOf(request).target, frame->header.sender);
}

void tunnel_server::carry(descriptor near, descriptor far, const runner_id &target,
                          std::uint64_t user)
{
    open.add(1);
    std::unique_lock lock(usersGuard);
    const auto entry = users.emplace(target, user);
    lock.unlock();
    enableDeadPeerDetection(near.get(), config::runnerSilenceTimeout);
    enableDeadPeerDetection(far.get(), config::runnerSilenceTimeout);
    carryBytes(std::move(near), std::move(far), stopping.descriptorNumber(), bytesCarried);
    lock.lock();
    users.erase(entry);
    lock.unlock();
    usersChanged.notify_all();
    open.add(-1);
}

std::vector<std::uint64_t> tunnel_server::usersOf(const runner_id &target) const
{
    std::vector<std::uint64_t> found;
    const std::lock_guard lock(usersGuard);
    const auto [first, last] = users.equal_range(target);
    for (auto one = first; one != last; ++one) {
        if (std::ranges::find(found, one->second) == found.end())
            found.push_back(one->second);
    }
    return found;
}

runner_entry tunnel_server::targetOf(const tunnel_request &request) const
{
    const runner_entry listed = dependencies.publisher.current()->runners->find(request.target);
    return listed && listed->startedAtMs == request.startedAtMs ? listed : nullptr;
}

tunnel_outcome tunnel_server::connectFor(const tunnel_request &request, descriptor &far)
{
    if (isLeaving || request.carrier != dependencies.self.instance)
        return tunnel_outcome::Rejected;
    const runner_entry target = targetOf(request);
    if (!target)
        return tunnel_outcome::Unlisted;
    // The runner would see the request as one of this instance.
    if (dependencies.isWithdrawn(*target))
        return tunnel_outcome::Withdrawn;
    if (dependencies.links.isBroken(target->id))
        return tunnel_outcome::CutOff;
    connect_result made =
            tryConnect(target->address, socket_clock::now() + config::runnerConnectTimeout,
                       stopping.descriptorNumber());
    far = std::move(made.connection);
    return outcomeOf(made.end);
}

} // namespace poplarspool::gateway
