#include "poplarspool/peer/store_update_exchange.h"

#include "peer/datagram_socket.h"
#include "peer/forward_groups.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <thread>
#include <utility>

namespace poplarspool::peer {

namespace {

/// A received update that others wait for.
struct waiting_update
{
    store_update update;
    socket_clock::time_point receivedAt;
};

/// The age that others are told includes the time for which the update waited here.
void addWait(store_update &update, socket_clock::duration wait)
{
    const auto waited = static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(wait).count());
    for (kind_update &one : update.kinds)
        one.ageMs += waited;
}

} // namespace

struct store_update_exchange::state
{
    state(datagram_settings settings, std::function<relay_iteration()> collect,
          std::function<void(std::uint64_t, const store_update &)> onUpdate,
          metrics_registry &metrics, journal &events)
        : collect(std::move(collect)), onUpdate(std::move(onUpdate)),
          faults(stepFailureReporterOf(events, metrics)), self(senderNumber(settings.self)),
          socket(std::move(settings), frame_kind::Store, metrics, "poplarspool_store_news_total")
    { }

    void sendLoop();
    void sendOnce();
    void sendUpdate(const store_update &update, const std::vector<endpoint> &to);
    void forwardAll(std::vector<waiting_update> &waiting);
    void receiveLoop();
    bool receive(std::uint64_t sender, std::string_view payload);

    const std::function<relay_iteration()> collect;
    const std::function<void(std::uint64_t, const store_update &)> onUpdate;
    const step_failure_reporter faults;
    const std::uint64_t self;
    datagram_socket socket; ///< Sends on sendThread, receives on receiveThread.
    pollable_flag stopping;
    std::thread sendThread;
    std::thread receiveThread;
    mutable std::mutex guard;
    std::condition_variable changed;
    bool isWakeRequested = false;
    std::vector<endpoint> peers;
    std::vector<waiting_update> toForward;
    std::vector<std::pair<endpoint, change_request>> toRequest;
    socket_clock::time_point nextIterationAt{}; ///< Used by sendThread only.
};

store_update_exchange::store_update_exchange(
        datagram_settings settings, std::function<relay_iteration()> collect,
        std::function<void(std::uint64_t, const store_update &)> onUpdate,
        metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), std::move(collect), std::move(onUpdate),
                                    metrics, events))
{ }

store_update_exchange::~store_update_exchange()
{
    stop();
}

result<unit> store_update_exchange::start()
{
    const auto opened = inner->socket.open();
    if (!succeeded(opened))
        return errorOf(opened);
    inner->receiveThread = startNamedThread("store_news_hearing", [this] { inner->receiveLoop(); });
    inner->sendThread = startNamedThread("store_news_telling", [this] { inner->sendLoop(); });
    return unit{};
}

void store_update_exchange::stop()
{
    inner->stopping.raise();
    wake();
    for (std::thread *one : {&inner->sendThread, &inner->receiveThread}) {
        if (one->joinable())
            one->join();
    }
}

void store_update_exchange::setPeers(std::vector<endpoint> peers)
{
    const std::lock_guard lock(inner->guard);
    inner->peers = std::move(peers);
}

std::size_t store_update_exchange::peerCount() const
{
    const std::lock_guard lock(inner->guard);
    return inner->peers.size();
}

void store_update_exchange::request(const endpoint &relay, const change_request &wanted)
{
    const std::lock_guard lock(inner->guard);
    inner->toRequest.emplace_back(relay, wanted);
    inner->changed.notify_all();
}

void store_update_exchange::wake()
{
    const std::lock_guard lock(inner->guard);
    inner->isWakeRequested = true;
    inner->changed.notify_all();
}

/// Each iteration collects its update anew, so that the next one makes up for one that failed.
void store_update_exchange::state::sendLoop()
{
    while (!stopping.isRaised()) {
        if (!runLoggingExceptions(faults, [this] { sendOnce(); }))
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

/// Forwards at once what has arrived; own updates are collected when they are due, or when
/// requested.
void store_update_exchange::state::sendOnce()
{
    std::unique_lock lock(guard);
    auto waiting = std::exchange(toForward, {});
    const auto requests = std::exchange(toRequest, {});
    lock.unlock();
    forwardAll(waiting);
    for (const auto &[relay, wanted] : requests)
        socket.send({relay}, encode(store_update{{}, 0, {}, {wanted}}));
    lock.lock();
    if (isWakeRequested || socket_clock::now() >= nextIterationAt) {
        isWakeRequested = false;
        const std::vector<endpoint> to = peers;
        lock.unlock();
        const relay_iteration iteration = collect();
        for (const store_update &update : iteration.updates)
            sendUpdate(update, to);
        lock.lock();
        nextIterationAt = socket_clock::now() + iteration.wait;
    }
    changed.wait_until(lock, nextIterationAt, [this] {
        return isWakeRequested || !toForward.empty() || !toRequest.empty();
    });
}

void store_update_exchange::state::sendUpdate(const store_update &update,
                                              const std::vector<endpoint> &to)
{
    // The parts of many changes take different forwarders, so that their links share the load.
    const std::uint64_t part = update.kinds.empty() ? 0 : update.kinds.front().part;
    for (const forward_batch &batch : forwardBatchesOf(to, self + part)) {
        store_update forwarded = update;
        forwarded.forwardTo = batch.forwardTo;
        socket.send(batch.to, encode(forwarded));
    }
}

void store_update_exchange::state::forwardAll(std::vector<waiting_update> &waiting)
{
    for (auto &[update, receivedAt] : waiting) {
        const auto to = std::exchange(update.forwardTo, {});
        addWait(update, socket_clock::now() - receivedAt);
        socket.send(to, encode(update));
    }
}

void store_update_exchange::state::receiveLoop()
{
    while (!stopping.isRaised()) {
        waitForSocket(socket.descriptorNumber(), POLLIN,
                      socket_clock::now() + config::storeUpdateIdleTime,
                      stopping.descriptorNumber());
        const bool isHandled = runLoggingExceptions(faults, [this] {
            socket.receive([this](std::uint64_t sender, std::string_view payload) {
                return receive(sender, payload);
            });
        });
        if (!isHandled)
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

/// An update that the callback fails to handle counts as lost; the sender's next updates repeat
/// it. No pause follows, because it would delay updates from other senders.
bool store_update_exchange::state::receive(std::uint64_t sender, std::string_view payload)
{
    auto decoded = decodeStoreUpdate(payload);
    if (!succeeded(decoded))
        return false;
    store_update &update = valueOf(decoded);
    if (update.origin == 0)
        update.origin = sender;
    if (!update.forwardTo.empty()) {
        const std::lock_guard lock(guard);
        if (toForward.size() < config::maxUpdateParts)
            toForward.push_back({update, socket_clock::now()});
        changed.notify_all();
    }
    return runLoggingExceptions(faults, [&] { onUpdate(update.origin, update); });
}

} // namespace poplarspool::peer
