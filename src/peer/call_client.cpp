#include "poplarspool/peer/calls.h"

#include "base/connect.h"
#include "peer/call_wire.h"
#include "peer/drop_counters.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace poplarspool::peer {

namespace {

/// Idle connections are discarded well before the server closes them: if the server closed one
/// just as a call was sent, the client could not tell whether the call had run.
constexpr milliseconds maxIdleTime = config::peerIdleTimeout / 2;

/// An open connection and the identity of the peer.
struct connection
{
    descriptor socket;
    std::uint64_t peer = 0;
    incarnation_number peerIncarnation = 0;
    std::uint64_t counter = 0; ///< Of the last frame sent.
    socket_clock::time_point usedAt;
};

error timedOut(verdict ran)
{
    return error{error_code::TimedOut, "peer call timed out", ran};
}

error connectionError(socket_fault fault, verdict ran)
{
    if (fault == socket_fault::TimedOut)
        return timedOut(ran);
    if (fault == socket_fault::Interrupted)
        return error{error_code::Cancelled, "peer call client was stopped during the call", ran};
    return error{error_code::Unavailable, "peer closed the connection", ran};
}

} // namespace

struct call_client::state
{
    state(call_identity identity, metrics_registry &metrics, journal &log)
        : self(std::move(identity)), selfNumber(senderNumber(self.instance)),
          key(deriveFrameKey(self.key)), events(log),
          dropped(metrics, "poplarspool_peer_dropped_total"),
          calls(metrics.counterOf("poplarspool_peer_calls_total{direction=\"sent\"}")),
          bytesReceived(
                  metrics.counterOf("poplarspool_peer_call_bytes_total{direction=\"received\"}")),
          bytesSent(metrics.counterOf("poplarspool_peer_call_bytes_total{direction=\"sent\"}")),
          unmatchedReplies(metrics.counterOf("poplarspool_peer_stray_answers_total")),
          // Random, not 1: a restarted process must not reuse ids of its former incarnation.
          nextCallId(randomNumber())
    { }

    std::optional<connection> takeIdle(const endpoint &to);
    void release(const endpoint &to, connection open);
    void closeUnused(socket_clock::time_point oldest);
    result<connection> open(const endpoint &to, socket_deadline deadline);
    result<std::string> exchange(connection &open, const std::string &payload,
                                 socket_deadline deadline);
    result<std::string> awaitReply(connection &open, std::uint64_t callId,
                                   socket_deadline deadline);
    bool isReplyTo(const frame_header &header, const connection &open, std::uint64_t callId) const;
    std::string buildFrame(connection &open, frame_kind kind, std::uint64_t callId,
                           std::string_view payload);

    const call_identity self;
    const std::uint64_t selfNumber;
    const frame_key key;
    journal &events;
    drop_counters dropped;
    counter &calls;
    counter &bytesReceived;
    counter &bytesSent;
    counter &unmatchedReplies;
    std::atomic<std::uint64_t> nextCallId;
    pollable_flag stopping;
    std::mutex idleMutex;
    std::map<endpoint, std::vector<connection>> idle;
    socket_clock::time_point lastSweepAt = socket_clock::now();
};

call_client::call_client(call_identity self, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(self), metrics, events))
{ }

call_client::~call_client()
{
    stop();
}

void call_client::stop()
{
    inner->stopping.raise();
    const std::lock_guard lock(inner->idleMutex);
    inner->idle.clear();
}

result<std::string> call_client::call(const endpoint &to, call_kind kind,
                                      const std::string &payload, milliseconds timeLimit)
{
    if (inner->stopping.isRaised())
        return notRun(error_code::Cancelled, "peer call client is stopped");
    if (payload.empty() || payload.size() > maxCallPayloadBytes)
        return notRun(error_code::TooLarge, "peer call request is empty or too large");
    const socket_deadline deadline = socket_clock::now() + timeLimit;
    inner->calls.add();
    std::optional<connection> open = inner->takeIdle(to);
    if (!open) {
        result<connection> opened = inner->open(to, deadline);
        if (!succeeded(opened))
            return errorOf(opened);
        open = std::move(valueOf(opened));
    }
    result<std::string> reply = inner->exchange(*open, encodeCall(kind, payload), deadline);
    // exchange() closes the connection if the call is still unanswered. Otherwise the late reply
    // would arrive before the reply to the next call.
    if (open->socket.isOpen())
        inner->release(to, std::move(*open));
    return reply;
}

std::optional<connection> call_client::state::takeIdle(const endpoint &to)
{
    const std::lock_guard lock(idleMutex);
    const auto found = idle.find(to);
    if (found == idle.end())
        return std::nullopt;
    std::vector<connection> &connections = found->second;
    const auto oldest = socket_clock::now() - maxIdleTime;
    while (!connections.empty()) {
        connection open = std::move(connections.back());
        connections.pop_back();
        if (open.usedAt >= oldest && isIdleAndOpen(open.socket.get()))
            return open;
    }
    idle.erase(found);
    return std::nullopt;
}

void call_client::state::release(const endpoint &to, connection open)
{
    open.usedAt = socket_clock::now();
    const std::lock_guard lock(idleMutex);
    if (stopping.isRaised())
        return;
    closeUnused(open.usedAt - maxIdleTime);
    std::vector<connection> &connections = idle[to];
    if (connections.size() < config::maxIdlePeerConnections)
        connections.push_back(std::move(open));
}

/// Without this, idle connections to peers that are never called again would stay open.
void call_client::state::closeUnused(socket_clock::time_point oldest)
{
    if (lastSweepAt >= oldest)
        return;
    lastSweepAt = socket_clock::now();
    for (auto &[to, connections] : idle)
        std::erase_if(connections, [&](const connection &open) { return open.usedAt < oldest; });
    std::erase_if(idle, [](const auto &entry) { return entry.second.empty(); });
}

result<connection> call_client::state::open(const endpoint &to, socket_deadline deadline)
{
    const socket_deadline connected =
            std::min(deadline, socket_clock::now() + config::connectTimeout);
    result<descriptor> socket = connectTo(to, connected, stopping.descriptorNumber());
    if (!succeeded(socket))
        return errorOf(socket);
    connection open;
    open.socket = std::move(valueOf(socket));
    const stream_read hello =
            readFrame(open.socket.get(), key, 0, deadline, stopping.descriptorNumber());
    if (const auto *fault = std::get_if<socket_fault>(&hello))
        return connectionError(*fault, verdict::NotRun);
    if (const auto *fault = std::get_if<frame_fault>(&hello)) {
        dropped.count(*fault);
        return notRun(error_code::Broken, "peer sent an invalid frame instead of its hello");
    }
    const frame_header &header = std::get<stream_frame>(hello).header;
    if (header.kind != frame_kind::Hello)
        return notRun(error_code::Broken, "peer's first frame was not a hello");
    open.peer = header.sender;
    open.peerIncarnation = header.senderIncarnation;
    open.counter = header.counter;
    const std::string ownHello = buildFrame(open, frame_kind::Hello, 0, {});
    const send_result done =
            sendAll(open.socket.get(), ownHello, deadline, stopping.descriptorNumber());
    if (done.fault != socket_fault::None)
        return connectionError(done.fault, verdict::NotRun);
    return open;
}

result<std::string> call_client::state::exchange(connection &open, const std::string &payload,
                                                 socket_deadline deadline)
{
    const std::uint64_t callId = nextCallId.fetch_add(1, std::memory_order_relaxed);
    const std::string frame = buildFrame(open, frame_kind::Call, callId, payload);
    const send_result done =
            sendAll(open.socket.get(), frame, deadline, stopping.descriptorNumber());
    bytesSent.add(done.bytes);
    if (done.fault != socket_fault::None) {
        open.socket.reset();
        // A frame that was sent only in part has no valid MAC at the peer and is never run.
        const bool isWhole = done.bytes == frame.size();
        return connectionError(done.fault, isWhole ? verdict::MayHaveRun : verdict::NotRun);
    }
    return awaitReply(open, callId, deadline);
}

result<std::string> call_client::state::awaitReply(connection &open, std::uint64_t callId,
                                                   socket_deadline deadline)
{
    while (true) {
        const stream_read reply = readFrame(open.socket.get(), key, config::maxPeerCallBytes,
                                            deadline, stopping.descriptorNumber());
        if (const auto *fault = std::get_if<socket_fault>(&reply)) {
            open.socket.reset();
            return connectionError(*fault, verdict::MayHaveRun);
        }
        if (const auto *fault = std::get_if<frame_fault>(&reply)) {
            dropped.count(*fault);
            open.socket.reset();
            return mayHaveRun(error_code::Broken, "peer replied with an invalid frame");
        }
        const stream_frame &frame = std::get<stream_frame>(reply);
        bytesReceived.add(frameHeaderBytes + frame.payload.size());
        if (isReplyTo(frame.header, open, callId)) {
            events.observe(frame.header.sentAt);
            return decodeReply(frame.payload);
        }
        // A late, duplicate or misdirected reply. Accepting it would give one caller the answer of
        // another.
        unmatchedReplies.add();
    }
}

bool call_client::state::isReplyTo(const frame_header &header, const connection &open,
                                   std::uint64_t callId) const
{
    return header.kind == frame_kind::Reply && header.callId == callId && header.sender == open.peer
            && header.senderIncarnation == open.peerIncarnation
            && header.receiverIncarnation == self.incarnation;
}

std::string call_client::state::buildFrame(connection &open, frame_kind kind, std::uint64_t callId,
                                           std::string_view payload)
{
    frame_header header;
    header.kind = kind;
    header.sender = selfNumber;
    header.senderIncarnation = self.incarnation;
    header.receiverIncarnation = open.peerIncarnation;
    header.counter = ++open.counter;
    header.callId = callId;
    header.sentAt = events.stamp();
    return sealFrame(key, header, payload);
}

} // namespace poplarspool::peer
