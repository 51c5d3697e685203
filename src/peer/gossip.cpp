#include "poplarspool/peer/gossip.h"

#include "base/socket.h"
#include "peer/call_wire.h"
#include "peer/drop_counters.h"
#include "peer/frame.h"
#include "peer/gossip_protocol.h"
#include "peer/numeric_address.h"
#include "peer/replay_window.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/config.h"

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

/// Longest pause of the gossip thread that counts as running: a third of the time to suspicion.
constexpr int stopShare = 3;

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
    state(gossip_settings given, gossip_handlers callbacks, clock_source time,
          metrics_registry &metrics, journal &log)
        : choices(std::move(given)), handlers(std::move(callbacks)), clock(std::move(time)),
          events(log), faults(stepFaultsOf(log, metrics)), key(deriveFrameKey(choices.key)),
          stopTime(choices.suspectTime / stopShare),
          dropped(metrics, "poplarspool_gossip_dropped_total"),
          bytesSent(metrics.counterOf("poplarspool_gossip_bytes_total{direction=\"sent\"}")),
          bytesReceived(
                  metrics.counterOf("poplarspool_gossip_bytes_total{direction=\"received\"}")),
          datagramsSent(
                  metrics.counterOf("poplarspool_gossip_datagrams_total{direction=\"sent\"}")),
          datagramsReceived(
                  metrics.counterOf("poplarspool_gossip_datagrams_total{direction=\"received\"}")),
          protocol(choices, randomNumber(), clock.mono())
    { }

    void run();
    void takeStep();
    void tellLastTime();
    void wake();
    void waitUntil(mono_time time);
    void noteStop(mono_time now);
    void receiveAll();
    void receive(std::string_view bytes, const numeric_address &from);
    bool isForUs(const frame_header &header, incarnation ownLife);
    void runRound(mono_time now);
    void sendAllOf(const std::vector<outgoing> &datagrams);
    void tellHandlers();
    void logChanges(const std::vector<member_change> &changes);

    const gossip_settings choices;
    const gossip_handlers handlers;
    const clock_source clock;
    journal &events;
    const step_faults faults;
    const frame_key key;
    const milliseconds stopTime;
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

    // Of the gossip thread alone.
    replay_guard replays;
    std::uint64_t counterSent = 0;
    mono_time nextRound{};
    mono_time awakeAt{};
    std::vector<policy::member> untoldMembers; ///< Not yet taken by the handler.
    mono_time arrivedAt{}; ///< Of what is received now; not later than it truly arrived.
};

gossip::gossip(gossip_settings choices, gossip_handlers handlers, clock_source clock,
               metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(choices), std::move(handlers), std::move(clock),
                                    metrics, events))
{ }

gossip::~gossip()
{
    stop();
}

result<unit> gossip::start()
{
    result<descriptor> socket = bindUdp(inner->choices.self.peerAddress);
    if (!succeeded(socket))
        return errorOf(socket);
    inner->socket = std::move(valueOf(socket));
    endpoint address = inner->choices.self.peerAddress;
    address.port = boundAddress(inner->socket.get()).port;
    inner->protocol.setPeerAddress(address);
    inner->thread = startNamed("gossip", [this] { inner->run(); });
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

void gossip::spread(rumor news)
{
    const std::lock_guard lock(inner->mutex);
    inner->protocol.spread(std::move(news), inner->clock.mono());
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

/// What a failed step leaves undone comes with a later one: each round tells all anew, and members
/// stay due until their handler has taken them.
void gossip::state::run()
{
    nextRound = clock.mono();
    awakeAt = nextRound;
    while (!isStopping) {
        if (!contained(faults, [this] { takeStep(); }) && !isStopping)
            waitForSocket(wakeEvent.get(), POLLIN, socket_clock::now() + config::failedStepPause,
                          -1);
    }
    contained(faults, [this] { tellLastTime(); });
}

void gossip::state::takeStep()
{
    waitUntil(nextRound);
    const mono_time now = clock.mono();
    noteStop(now);
    receiveAll();
    if (now >= nextRound || isRoundDue.exchange(false)) {
        runRound(now);
        nextRound = now + choices.roundTime;
    }
    tellHandlers();
}

void gossip::state::tellLastTime()
{
    std::vector<outgoing> last;
    {
        const std::lock_guard lock(mutex);
        last = protocol.onEnd(clock.mono());
    }
    sendAllOf(last);
}

void gossip::state::wake()
{
    eventfd_write(wakeEvent.get(), 1);
}

void gossip::state::waitUntil(mono_time time)
{
    const auto left = std::chrono::ceil<milliseconds>(time - clock.mono());
    const auto bounded = std::clamp<std::int64_t>(left.count(), 0, choices.roundTime.count());
    std::array<pollfd, 2> looks{pollfd{socket.get(), POLLIN, 0},
                                pollfd{wakeEvent.get(), POLLIN, 0}};
    poll(looks.data(), looks.size(), static_cast<int>(bounded));
    eventfd_t count = 0;
    eventfd_read(wakeEvent.get(), &count);
}

/// A process that was stopped finds old datagrams in its socket. Counted from now, their ages would
/// make confirmations of long ago look fresh, and open probes would make it suspect everyone. So
/// what waits there counts as arrived when this thread was last seen running, and probes and
/// suspicions start anew.
void gossip::state::noteStop(mono_time now)
{
    const mono_time lastAwake = std::exchange(awakeAt, now);
    const bool wasStopped = now - lastAwake > choices.roundTime + stopTime;
    arrivedAt = wasStopped ? lastAwake : now;
    if (!wasStopped)
        return;
    const auto pause = std::chrono::duration_cast<milliseconds>(now - lastAwake);
    events.emit("gossip_stopped", {{"pause_ms", std::to_string(pause.count())}});
    const std::lock_guard lock(mutex);
    protocol.onStopped(now);
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
        // Lost like any datagram where it throws; without a pause, since others wait behind it.
        contained(faults, [&] { receive({buffer.data(), static_cast<std::size_t>(size)}, from); });
    }
}

void gossip::state::receive(std::string_view bytes, const numeric_address &from)
{
    const auto opened = openFrame(key, bytes);
    if (const auto *fault = std::get_if<frame_fault>(&opened))
        return dropped.count(*fault);
    const opened_frame &frame = std::get<opened_frame>(opened);
    const mono_time now = clock.mono();
    std::vector<outgoing> answers;
    {
        const std::lock_guard lock(mutex);
        if (!isForUs(frame.header, protocol.members().self().record.life))
            return;
        const incoming datagram{endpointOf(from),    frame.header.sender, frame.header.senderLife,
                                frame.header.callId, frame.payload,       arrivedAt};
        const replay_verdict replay = replays.check(frame.header.sender, frame.header.senderLife,
                                                    frame.header.counter, now);
        if (replay != replay_verdict::Fresh)
            dropped.replay.add();
        if (replay == replay_verdict::OldLife)
            protocol.onOldLife(datagram, now, answers);
        if (replay == replay_verdict::Fresh && !protocol.onDatagram(datagram, now, answers))
            dropped.decode.add();
    }
    events.observe(frame.header.sentAt);
    sendAllOf(answers);
}

bool gossip::state::isForUs(const frame_header &header, incarnation ownLife)
{
    // Lives between the first and the present one were this process's own.
    const bool isOurLife =
            header.receiverLife >= choices.self.life && header.receiverLife <= ownLife;
    if (header.kind != frame_kind::Gossip || (header.receiverLife != 0 && !isOurLife)) {
        dropped.foreign.add();
        return false;
    }
    return true;
}

void gossip::state::runRound(mono_time now)
{
    std::vector<outgoing> datagrams;
    {
        const std::lock_guard lock(mutex);
        datagrams = protocol.onRound(now);
    }
    sendAllOf(datagrams);
}

void gossip::state::sendAllOf(const std::vector<outgoing> &datagrams)
{
    if (datagrams.empty())
        return;
    frame_header header;
    header.kind = frame_kind::Gossip;
    header.sender = senderNumber(choices.self.id);
    {
        const std::lock_guard lock(mutex);
        header.senderLife = protocol.members().self().record.life;
    }
    header.sentAt = events.stamp();
    for (const outgoing &datagram : datagrams) {
        const auto to = numericAddressOf(datagram.to);
        if (!to)
            continue;
        header.receiverLife = datagram.receiverLife;
        header.callId = datagram.callId;
        header.counter = ++counterSent;
        const std::string frame = sealFrame(key, header, datagram.payload);
        // A datagram that the kernel refuses is lost like any other.
        sendto(socket.get(), frame.data(), frame.size(), MSG_DONTWAIT, to->get(), to->size);
        bytesSent.add(frame.size() + config::datagramOverheadBytes);
        datagramsSent.add();
    }
}

void gossip::state::tellHandlers()
{
    std::vector<member_change> changes;
    std::vector<rumor> news;
    {
        const std::lock_guard lock(mutex);
        changes = protocol.takeChanges();
        news = protocol.takeNewRumors();
        if (protocol.takeIsChanged())
            untoldMembers = protocol.listedMembers();
    }
    logChanges(changes);
    for (const rumor &item : news) {
        if (handlers.onRumor)
            contained(faults, [&] { handlers.onRumor(item); });
    }
    if (!untoldMembers.empty() && handlers.onMembers)
        handlers.onMembers(untoldMembers);
    untoldMembers.clear();
}

void gossip::state::logChanges(const std::vector<member_change> &changes)
{
    for (const member_change &change : changes) {
        events.emit("member_state",
                    {{"peer", change.id.text},
                     {"life", std::to_string(change.life)},
                     {"state", std::string(policy::nameOf(change.state))}});
    }
}

} // namespace poplarspool::peer
