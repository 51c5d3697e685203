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
    state(datagram_settings choices, std::function<relay_turn()> collect,
          std::function<void(std::uint64_t, const store_news &)> onNews, metrics_registry &metrics,
          journal &events)
        : collect(std::move(collect)), onNews(std::move(onNews)),
          faults(stepFaultsOf(events, metrics)),
          port(std::move(choices), frame_kind::Store, metrics, "poplarspool_store_news_total")
    { }

    void tellOn();
    void tell();
    void hearOn();
    bool hear(std::uint64_t sender, std::string_view payload);

    const std::function<relay_turn()> collect;
    const std::function<void(std::uint64_t, const store_news &)> onNews;
    const step_faults faults;
    datagram_port port; ///< Sends on one thread, receives on the other.
    raised_flag stopping;
    std::thread telling;
    std::thread hearing;
    mutable std::mutex guard;
    std::condition_variable changed;
    bool isWoken = false;
    std::vector<endpoint> peers;
};

store_relay::store_relay(datagram_settings choices, std::function<relay_turn()> collect,
                         std::function<void(std::uint64_t, const store_news &)> onNews,
                         metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(choices), std::move(collect), std::move(onNews),
                                    metrics, events))
{ }

store_relay::~store_relay()
{
    stop();
}

result<unit> store_relay::start()
{
    const auto opened = inner->port.open();
    if (!succeeded(opened))
        return errorOf(opened);
    inner->hearing = startNamed("store_news_hearing", [this] { inner->hearOn(); });
    inner->telling = startNamed("store_news_telling", [this] { inner->tellOn(); });
    return unit{};
}

void store_relay::stop()
{
    inner->stopping.raise();
    wake();
    for (std::thread *one : {&inner->telling, &inner->hearing}) {
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
    inner->isWoken = true;
    inner->changed.notify_all();
}

/// Each turn is collected anew, so that one that failed is made up for by the next.
void store_relay::state::tellOn()
{
    while (!stopping.isRaised()) {
        if (!contained(faults, [this] { tell(); }))
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

void store_relay::state::tell()
{
    const relay_turn turn = collect();
    std::unique_lock lock(guard);
    if (turn.news) {
        const std::vector<endpoint> to = peers;
        lock.unlock();
        port.send(to, encode(*turn.news));
        lock.lock();
    }
    changed.wait_for(lock, turn.wait, [this] { return isWoken; });
    isWoken = false;
}

void store_relay::state::hearOn()
{
    while (!stopping.isRaised()) {
        waitForSocket(port.descriptorNumber(), POLLIN,
                      socket_clock::now() + config::storeNewsIdleTime, stopping.descriptorNumber());
        const bool isDone = contained(faults, [this] {
            port.receive([this](std::uint64_t sender, std::string_view payload) {
                return hear(sender, payload);
            });
        });
        if (!isDone)
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

/// News that can't be taken are lost like any datagram: the sender's next ones repeat them. There
/// is no pause, or those of other senders would wait.
bool store_relay::state::hear(std::uint64_t sender, std::string_view payload)
{
    const auto news = decodeStoreNews(payload);
    if (!succeeded(news))
        return false;
    return contained(faults, [&] { onNews(sender, valueOf(news)); });
}

} // namespace poplarspool::peer
