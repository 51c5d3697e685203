#include "poplarspool/peer/store_relay.h"

#include "peer/datagram_port.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/config.h"

#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <thread>

namespace poplarspool::peer {

struct store_relay::state
{
    state(datagram_settings settings, std::function<relay_turn()> collect,
          std::function<void(std::uint64_t, const store_news &)> onUpdate,
          metrics_registry &metrics, journal &events)
        : collect(std::move(collect)), onUpdate(std::move(onUpdate)),
          faults(stepFaultsOf(events, metrics)),
          socket(std::move(settings), frame_kind::Store, metrics, "poplarspool_store_news_total")
    { }

    void sendLoop();
    void sendOnce();
    void receiveLoop();
    bool receive(std::uint64_t sender, std::string_view payload);

    const std::function<relay_turn()> collect;
    const std::function<void(std::uint64_t, const store_news &)> onUpdate;
    const step_faults faults;
    datagram_socket socket; ///< Sends on sendThread, receives on receiveThread.
    raised_flag stopping;
    std::thread sendThread;
    std::thread receiveThread;
    mutable std::mutex guard;
    std::condition_variable changed;
    bool isWakeRequested = false;
    std::vector<endpoint> peers;
};

store_relay::store_relay(datagram_settings settings, std::function<relay_turn()> collect,
                         std::function<void(std::uint64_t, const store_news &)> onUpdate,
                         metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), std::move(collect), std::move(onUpdate),
                                    metrics, events))
{ }

store_relay::~store_relay()
{
    stop();
}

result<unit> store_relay::start()
{
    const auto opened = inner->socket.open();
    if (!succeeded(opened))
        return errorOf(opened);
    inner->receiveThread = startNamed("store_news_hearing", [this] { inner->receiveLoop(); });
    inner->sendThread = startNamed("store_news_telling", [this] { inner->sendLoop(); });
    return unit{};
}

void store_relay::stop()
{
    inner->stopping.raise();
    wake();
    for (std::thread *one : {&inner->sendThread, &inner->receiveThread}) {
        if (one->joinable())
            one->join();
    }
}

void store_relay::setPeers(std::vector<endpoint> peers)
{
    const std::lock_guard lock(inner->guard);
    inner->peers = std::move(peers);
}

std::size_t store_relay::countPeers() const
{
    const std::lock_guard lock(inner->guard);
    return inner->peers.size();
}

void store_relay::wake()
{
    const std::lock_guard lock(inner->guard);
    inner->isWakeRequested = true;
    inner->changed.notify_all();
}

/// Each iteration collects its update anew, so that the next one makes up for one that failed.
void store_relay::state::sendLoop()
{
    while (!stopping.isRaised()) {
        if (!contained(faults, [this] { sendOnce(); }))
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

void store_relay::state::sendOnce()
{
    const relay_turn iteration = collect();
    std::unique_lock lock(guard);
    if (iteration.news) {
        const std::vector<endpoint> to = peers;
        lock.unlock();
        socket.send(to, encode(*iteration.news));
        lock.lock();
    }
    changed.wait_for(lock, iteration.wait, [this] { return isWakeRequested; });
    isWakeRequested = false;
}

void store_relay::state::receiveLoop()
{
    while (!stopping.isRaised()) {
        waitForSocket(socket.descriptorNumber(), POLLIN,
                      socket_clock::now() + config::storeNewsIdleTime, stopping.descriptorNumber());
        const bool isHandled = contained(faults, [this] {
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
bool store_relay::state::receive(std::uint64_t sender, std::string_view payload)
{
    const auto update = decodeStoreNews(payload);
    if (!succeeded(update))
        return false;
    return contained(faults, [&] { onUpdate(sender, valueOf(update)); });
}

} // namespace poplarspool::peer
