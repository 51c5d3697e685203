#include "poplarspool/peer/calls.h"

#include "base/connection_threads.h"
#include "base/socket.h"
#include "peer/call_wire.h"
#include "peer/drop_counters.h"
#include "peer/listen.h"
#include "peer/numeric_address.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"

#include <cerrno>
#include <exception>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace poplarspool::peer {

namespace {

socket_deadline after(milliseconds time)
{
    return socket_clock::now() + time;
}

} // namespace

struct call_server::state
{
    state(endpoint bind, call_identity identity, std::map<call_kind, call_handler> callHandlers,
          metrics_registry &metrics, journal &log)
        : bindAddress(std::move(bind)), self(std::move(identity)),
          selfNumber(senderNumber(self.instance)), key(deriveFrameKey(self.key)),
          handlers(std::move(callHandlers)), events(log),
          dropped(metrics, "poplarspool_peer_dropped_total"),
          calls(metrics.counterOf("poplarspool_peer_calls_total{direction=\"served\"}")),
          bytesReceived(
                  metrics.counterOf("poplarspool_peer_call_bytes_total{direction=\"received\"}")),
          bytesSent(metrics.counterOf("poplarspool_peer_call_bytes_total{direction=\"sent\"}")),
          refused(metrics.counterOf("poplarspool_peer_connections_refused_total")),
          threads("peer_calls", config::maxPeerConnections, stepFailureReporterOf(log, metrics))
    { }

    void acceptLoop();
    void serve(int fd);
    std::uint64_t sendHello(int fd);
    bool receiveHello(int fd, std::uint64_t nonce);
    bool serveOne(int fd, std::uint64_t expectedCounter);
    stream_read read(int fd, std::size_t maxPayload);
    bool isAcceptable(const frame_header &header, frame_kind kind, std::uint64_t expectedCounter);
    bool reply(int fd, const frame_header &request, const result<std::string> &outcome);
    result<std::string> handle(std::string_view bytes);
    frame_header headerFor(frame_kind kind, incarnation_number receiver);

    const endpoint bindAddress;
    const call_identity self;
    const std::uint64_t selfNumber;
    const frame_key key;
    const std::map<call_kind, call_handler> handlers;
    journal &events;
    drop_counters dropped;
    counter &calls;
    counter &bytesReceived;
    counter &bytesSent;
    counter &refused;
    descriptor listener;
    pollable_flag stopping;
    connection_threads threads;
    std::thread acceptThread;
};

call_server::call_server(endpoint bind, call_identity self,
                         std::map<call_kind, call_handler> handlers, metrics_registry &metrics,
                         journal &events)
    : inner(std::make_unique<state>(std::move(bind), std::move(self), std::move(handlers), metrics,
                                    events))
{ }

call_server::~call_server()
{
    stop();
}

result<endpoint> call_server::start()
{
    result<descriptor> listener = listenOn(inner->bindAddress);
    if (!succeeded(listener))
        return errorOf(listener);
    inner->listener = std::move(valueOf(listener));
    inner->acceptThread = std::thread([this] { inner->acceptLoop(); });
    return boundAddress(inner->listener.get());
}

void call_server::stop()
{
    inner->stopping.raise();
    if (inner->acceptThread.joinable())
        inner->acceptThread.join();
    inner->threads.join();
    inner->listener.reset();
}

void call_server::state::acceptLoop()
{
    while (true) {
        const socket_fault fault =
                waitForSocket(listener.get(), POLLIN, after(config::peerIdleTimeout),
                              stopping.descriptorNumber());
        if (fault == socket_fault::Interrupted)
            return;
        const int fd = accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            // If the process is out of descriptors the listener stays readable, and without a pause
            // this loop would spin.
            if (fault == socket_fault::None && errno != EAGAIN)
                waitForSocket(-1, 0, after(config::gossipInterval), stopping.descriptorNumber());
            continue;
        }
        auto connection = std::make_shared<descriptor>(fd);
        if (!threads.run([this, connection] { serve(connection->get()); }))
            refused.add();
    }
}

void call_server::state::serve(int fd)
{
    setNoDelay(fd);
    const std::uint64_t nonce = sendHello(fd);
    if (!receiveHello(fd, nonce))
        return;
    std::uint64_t expectedCounter = nonce + 2;
    while (serveOne(fd, expectedCounter))
        ++expectedCounter;
}

std::uint64_t call_server::state::sendHello(int fd)
{
    frame_header hello = headerFor(frame_kind::Hello, 0);
    hello.counter = randomNumber();
    sendAll(fd, sealFrame(key, hello, {}), after(config::peerCallTimeout),
            stopping.descriptorNumber());
    return hello.counter;
}

bool call_server::state::receiveHello(int fd, std::uint64_t nonce)
{
    const stream_read hello = read(fd, 0);
    const auto *frame = std::get_if<stream_frame>(&hello);
    return frame != nullptr && isAcceptable(frame->header, frame_kind::Hello, nonce + 1);
}

bool call_server::state::serveOne(int fd, std::uint64_t expectedCounter)
{
    if (waitForSocket(fd, POLLIN, after(config::peerIdleTimeout), stopping.descriptorNumber())
        != socket_fault::None)
        return false;
    const stream_read received = read(fd, config::maxPeerCallBytes);
    const auto *frame = std::get_if<stream_frame>(&received);
    if (frame == nullptr || !isAcceptable(frame->header, frame_kind::Call, expectedCounter))
        return false;
    events.observe(frame->header.sentAt);
    calls.add();
    return reply(fd, frame->header, handle(frame->payload));
}

stream_read call_server::state::read(int fd, std::size_t maxPayload)
{
    stream_read outcome = readFrame(fd, key, maxPayload, after(config::peerCallTimeout),
                                    stopping.descriptorNumber());
    if (const auto *fault = std::get_if<frame_fault>(&outcome))
        dropped.count(*fault);
    if (const auto *frame = std::get_if<stream_frame>(&outcome))
        bytesReceived.add(frameHeaderBytes + frame->payload.size());
    return outcome;
}

/// The connection's counter prevents replays of recorded frames. The receiver's incarnation
/// rejects calls that were meant for an earlier process at this address.
bool call_server::state::isAcceptable(const frame_header &header, frame_kind kind,
                                      std::uint64_t expectedCounter)
{
    if (header.kind != kind || header.receiverIncarnation != self.incarnation) {
        dropped.foreign.add();
        return false;
    }
    if (header.counter != expectedCounter) {
        dropped.replay.add();
        return false;
    }
    return true;
}

bool call_server::state::reply(int fd, const frame_header &request,
                               const result<std::string> &outcome)
{
    frame_header header = headerFor(frame_kind::Reply, request.senderIncarnation);
    header.counter = request.counter;
    header.callId = request.callId;
    const std::string frame = sealFrame(key, header, encodeReply(outcome));
    bytesSent.add(frame.size());
    const send_result done =
            sendAll(fd, frame, after(config::peerCallTimeout), stopping.descriptorNumber());
    return done.fault == socket_fault::None;
}

result<std::string> call_server::state::handle(std::string_view bytes)
{
    const result<call_request> request = decodeCall(bytes);
    if (!succeeded(request)) {
        dropped.decode.add();
        return errorOf(request);
    }
    const auto handler = handlers.find(valueOf(request).kind);
    if (handler == handlers.end())
        return notRun(error_code::BadRequest, "unknown call kind");
    try {
        result<std::string> outcome = handler->second(valueOf(request).payload);
        if (succeeded(outcome) && valueOf(outcome).size() > maxCallPayloadBytes)
            return mayHaveRun(error_code::TooLarge, "peer call reply is too large");
        return outcome;
    } catch (const std::exception &fault) {
        return mayHaveRun(error_code::Internal, fault.what());
    }
}

frame_header call_server::state::headerFor(frame_kind kind, incarnation_number receiver)
{
    frame_header header;
    header.kind = kind;
    header.sender = selfNumber;
    header.senderIncarnation = self.incarnation;
    header.receiverIncarnation = receiver;
    header.sentAt = events.stamp();
    return header;
}

} // namespace poplarspool::peer
