#include "poplarspool/peer/gossip.h"

#include "base/socket.h"
#include "peer/call_wire.h"
#include "peer/drop_counters.h"
#include "peer/frame.h"
#include "peer/gossip_protocol.h"
#include "peer/numeric_address.h"
#include "peer/replay_window.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>

namespace poplarspool::peer {

namespace {

/// A gossip thread that was late by more than a third of the probe timeout counts as paused.
constexpr int pauseDivisor = 3;

result<descriptor> bindUdp(const endpoint &address)
{
    const auto numeric = numericAddressOf(address);
    const error failure = notRun(error_code::Unavailable, "can't bind UDP " + textOf(address));
    if (!numeric)
        return failure;
    descriptor socket(::socket(numeric->family(), SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket.isOpen() || bind(socket.get(), numeric->get(), numeric->size) != 0)
        return failure;
    return socket;
}

} // namespace

struct gossip::state
{
    state(gossip_settings initialSettings, gossip_handlers handlerSet, clock_source time,
          metrics_registry &metrics, journal &log)
        : settings(std::move(initialSettings)), handlers(std::move(handlerSet)),
          clock(std::move(time)), events(log), faults(stepFailureReporterOf(log, metrics)),
          key(deriveFrameKey(settings.key)), maxDelay(settings.probeTimeout / pauseDivisor),
          dropped(metrics, "poplarspool_gossip_dropped_total"),
          bytesSent(metrics.counterOf("poplarspool_gossip_bytes_total{direction=\"sent\"}")),
          bytesReceived(
                  metrics.counterOf("poplarspool_gossip_bytes_total{direction=\"received\"}")),
          datagramsSent(
                  metrics.counterOf("poplarspool_gossip_datagrams_total{direction=\"sent\"}")),
          datagramsReceived(
                  metrics.counterOf("poplarspool_gossip_datagrams_total{direction=\"received\"}")),
          protocol(settings, randomNumber(), clock.mono())
    { }

    void run();
    void runOnce();
    void announceShutdown();
    void wake();
    void waitUntil(mono_time time);
    void detectPause(mono_time now);
    void receiveAll();
    void receive(std::string_view bytes, const numeric_address &from);
    bool isAcceptable(const frame_header &header, incarnation_number ownIncarnation);
    void runRound(mono_time now);
    void sendAllOf(const std::vector<outgoing_datagram> &datagrams);
    void notifyHandlers();
    void logChanges(const std::vector<member_change> &changes);

    const gossip_settings settings;
    const gossip_handlers handlers;
    const clock_source clock;
    journal &events;
    const step_failure_reporter faults;
    const frame_key key;
    const milliseconds maxDelay;
    drop_counters dropped;
    counter &bytesSent;
    counter &bytesReceived;
    counter &datagramsSent;
    counter &datagramsReceived;

    mutable std::mutex mutex; ///< Guards the protocol.
    gossip_protocol protocol;

    descriptor socket;
    descriptor wakeEvent{eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)};
    std::atomic<bool> isStopping{false};
    std::atomic<bool> isRoundDue{false};
    std::thread thread;

    // Used by the gossip thread only.
    replay_guard replays;
    std::uint64_t counterSent = 0;
    mono_time nextRound{};
    mono_time lastRunAt{};
    std::vector<policy::member> pendingMembers; ///< Not yet accepted by the handler.
    mono_time arrivedAt{}; ///< Of the datagrams received now; never later than their real arrival.
};

gossip::gossip(gossip_settings settings, gossip_handlers handlers, clock_source clock,
               metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), std::move(handlers), std::move(clock),
                                    metrics, events))
{ }

gossip::~gossip()
{
    stop();
}

result<unit> gossip::start()
{
    result<descriptor> socket = bindUdp(inner->settings.self.peerAddress);
    if (!succeeded(socket))
        return errorOf(socket);
    inner->socket = std::move(valueOf(socket));
    endpoint address = inner->settings.self.peerAddress;
    address.port = boundAddress(inner->socket.get()).port;
    inner->protocol.setPeerAddress(address);
    inner->thread = startNamedThread("gossip", [this] { inner->run(); });
    return unit{};
}

void gossip::stop()
{
    inner->isStopping = true;
    inner->wake();
    if (inner->thread.joinable())
        inner->thread.join();
}

void gossip::setContacts(std::vector<endpoint> contacts)
{
    const std::lock_guard lock(inner->mutex);
    inner->protocol.setContacts(std::move(contacts));
}

void gossip::setListedLeaving(std::vector<instance_id> leaving)
{
    {
        const std::lock_guard lock(inner->mutex);
        inner->protocol.setListedLeaving(std::move(leaving));
    }
    inner->wake();
}

void gossip::setApplied(std::uint64_t appliedVersion, mono_time confirmedAt)
{
    const std::lock_guard lock(inner->mutex);
    inner->protocol.setApplied(appliedVersion, confirmedAt);
}

void gossip::setOpenStreams(std::uint32_t count)
{
    const std::lock_guard lock(inner->mutex);
    inner->protocol.setOpenStreams(count);
}

void gossip::setLeaving()
{
    {
        const std::lock_guard lock(inner->mutex);
        inner->protocol.setLeaving();
    }
    inner->isRoundDue = true;
    inner->wake();
}

void gossip::spread(rumor item)
{
    const std::lock_guard lock(inner->mutex);
    inner->protocol.spread(std::move(item), inner->clock.mono());
}

std::vector<policy::member> gossip::members() const
{
    const std::lock_guard lock(inner->mutex);
    return inner->protocol.listedMembers();
}

std::vector<rumor> gossip::rumors() const
{
    const std::lock_guard lock(inner->mutex);
    return inner->protocol.allRumors();
}

/// Work left undone by a failed iteration is done by a later one: each round sends updates anew,
/// and a member list stays pending until its handler has accepted it.
void gossip::state::run()
{
    nextRound = clock.mono();
    lastRunAt = nextRound;
    while (!isStopping) {
        if (!runLoggingExceptions(faults, [this] { runOnce(); }) && !isStopping)
            waitForSocket(wakeEvent.get(), POLLIN, socket_clock::now() + config::failedStepPause,
                          -1);
    }
    runLoggingExceptions(faults, [this] { announceShutdown(); });
}

void gossip::state::runOnce()
{
    waitUntil(nextRound);
    const mono_time now = clock.mono();
    detectPause(now);
    receiveAll();
    if (now >= nextRound || isRoundDue.exchange(false)) {
        runRound(now);
        nextRound = now + settings.roundInterval;
    }
    notifyHandlers();
}

void gossip::state::announceShutdown()
{
    std::vector<outgoing_datagram> announcement;
    {
        const std::lock_guard lock(mutex);
        announcement = protocol.onShutdown(clock.mono());
    }
    sendAllOf(announcement);
}

void gossip::state::wake()
{
    eventfd_write(wakeEvent.get(), 1);
}

void gossip::state::waitUntil(mono_time time)
{
    const auto remaining = std::chrono::ceil<milliseconds>(time - clock.mono());
    const auto bounded =
            std::clamp<std::int64_t>(remaining.count(), 0, settings.roundInterval.count());
    std::array<pollfd, 2> polled{pollfd{socket.get(), POLLIN, 0},
                                 pollfd{wakeEvent.get(), POLLIN, 0}};
    poll(polled.data(), polled.size(), static_cast<int>(bounded));
    eventfd_t count = 0;
    eventfd_read(wakeEvent.get(), &count);
}

/// After a pause of the process, old datagrams wait in its socket. If their ages were counted
/// back from now, old confirmations would look fresh, and probes left open would make this
/// instance suspect every member. So waiting datagrams count as arrived when this thread last
/// ran, and probes and suspicion timers are reset.
void gossip::state::detectPause(mono_time now)
{
    const mono_time previousRunAt = std::exchange(lastRunAt, now);
    const bool wasPaused = now - previousRunAt > settings.roundInterval + maxDelay;
    arrivedAt = wasPaused ? previousRunAt : now;
    if (!wasPaused)
        return;
    const auto pause = std::chrono::duration_cast<milliseconds>(now - previousRunAt);
    events.emit("gossip_stopped", {{"pause_ms", std::to_string(pause.count())}});
    const std::lock_guard lock(mutex);
    protocol.onPause(now);
}

void gossip::state::receiveAll()
{
    std::array<char, config::maxDatagramBytes + 1> buffer; // NOLINT: filled by recvfrom()
    while (!isStopping) {
        numeric_address from;
        const ssize_t size = recvfrom(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                      from.get(), &from.size);
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            return;
        bytesReceived.add(static_cast<std::uint64_t>(size) + config::datagramOverheadBytes);
        datagramsReceived.add();
        // If this throws, the datagram counts as lost. No pause, because others are queued behind
        // it.
        runLoggingExceptions(faults, [&] {
            receive({buffer.data(), static_cast<std::size_t>(size)}, from);
        });
    }
}

void gossip::state::receive(std::string_view bytes, const numeric_address &from)
{
    const auto opened = openFrame(key, bytes);
    if (const auto *fault = std::get_if<frame_fault>(&opened))
        return dropped.count(*fault);
    const opened_frame &frame = std::get<opened_frame>(opened);
    const mono_time now = clock.mono();
    std::vector<outgoing_datagram> responses;
    {
        const std::lock_guard lock(mutex);
        if (!isAcceptable(frame.header, protocol.members().self().record.incarnation))
            return;
        const incoming_datagram datagram{
                endpointOf(from),    frame.header.sender, frame.header.senderIncarnation,
                frame.header.callId, frame.payload,       arrivedAt};
        const replay_verdict replay = replays.check(
                frame.header.sender, frame.header.senderIncarnation, frame.header.counter, now);
        if (replay != replay_verdict::Fresh)
            dropped.replay.add();
        if (replay == replay_verdict::OldIncarnation)
            protocol.onOldIncarnation(datagram, now, responses);
        if (replay == replay_verdict::Fresh && !protocol.onDatagram(datagram, now, responses))
            dropped.decode.add();
    }
    events.observe(frame.header.sentAt);
    sendAllOf(responses);
}

bool gossip::state::isAcceptable(const frame_header &header, incarnation_number ownIncarnation)
{
    // All incarnations from the first to the current one belong to this process.
    const bool isOwnIncarnation = header.receiverIncarnation >= settings.self.incarnation
            && header.receiverIncarnation <= ownIncarnation;
    if (header.kind != frame_kind::Gossip
        || (header.receiverIncarnation != 0 && !isOwnIncarnation)) {
        dropped.foreign.add();
        return false;
    }
    return true;
}

void gossip::state::runRound(mono_time now)
{
    std::vector<outgoing_datagram> datagrams;
    {
        const std::lock_guard lock(mutex);
        datagrams = protocol.onRound(now);
    }
    sendAllOf(datagrams);
}

void gossip::state::sendAllOf(const std::vector<outgoing_datagram> &datagrams)
{
    if (datagrams.empty())
        return;
    frame_header header;
    header.kind = frame_kind::Gossip;
    header.sender = senderNumber(settings.self.id);
    {
        const std::lock_guard lock(mutex);
        header.senderIncarnation = protocol.members().self().record.incarnation;
    }
    header.sentAt = events.stamp();
    for (const outgoing_datagram &datagram : datagrams) {
        const auto to = numericAddressOf(datagram.to);
        if (!to)
            continue;
        header.receiverIncarnation = datagram.receiverIncarnation;
        header.callId = datagram.callId;
        header.counter = ++counterSent;
        const std::string frame = sealFrame(key, header, datagram.payload);
        // A datagram that the kernel rejects counts as lost in transit.
        sendto(socket.get(), frame.data(), frame.size(), MSG_DONTWAIT, to->get(), to->size);
        bytesSent.add(frame.size() + config::datagramOverheadBytes);
        datagramsSent.add();
    }
}

void gossip::state::notifyHandlers()
{
    std::vector<member_change> changes;
    std::vector<rumor> newRumors;
    {
        const std::lock_guard lock(mutex);
        changes = protocol.takeChanges();
        newRumors = protocol.takeNewRumors();
        if (protocol.takeIsChanged())
            pendingMembers = protocol.listedMembers();
    }
    logChanges(changes);
    for (const rumor &item : newRumors) {
        if (handlers.onRumor)
            runLoggingExceptions(faults, [&] { handlers.onRumor(item); });
    }
    if (!pendingMembers.empty() && handlers.onMembers)
        handlers.onMembers(pendingMembers);
    pendingMembers.clear();
}

void gossip::state::logChanges(const std::vector<member_change> &changes)
{
    for (const member_change &change : changes) {
        events.emit("member_state",
                    {{"peer", change.id.text},
                     {"life", std::to_string(change.incarnation)},
                     {"state", std::string(policy::nameOf(change.state))}});
    }
}

} // namespace poplarspool::peer
