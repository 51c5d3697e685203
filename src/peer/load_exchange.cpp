#include "poplarspool/peer/load_exchange.h"

#include "peer/datagram_port.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <poll.h>
#include <thread>

namespace poplarspool::peer {

milliseconds loadNewsInterval(std::size_t peers, std::size_t others, std::size_t datagramsPerSecond)
{
    const std::size_t share = std::max(others, config::loadNewsFleet);
    const milliseconds within(1000 * peers * share / (datagramsPerSecond * config::loadNewsFleet));
    return std::max(within, config::loadNewsTime);
}

struct load_exchange::state
{
    state(datagram_settings choices, std::function<load_news(news_audience)> collect,
          std::function<void(std::uint64_t, const load_news &)> onNews, clock_source clock,
          metrics_registry &metrics, journal &events)
        : collect(std::move(collect)), onNews(std::move(onNews)), clock(std::move(clock)),
          faults(stepFaultsOf(events, metrics)),
          port(std::move(choices), frame_kind::Load, metrics, "poplarspool_load_news_total")
    { }

    void run();
    void takeStep();
    void tellDue(mono_time now);
    void tellAudience(news_audience audience, const std::vector<endpoint> &to);
    bool hear(std::uint64_t sender, std::string_view payload);

    const std::function<load_news(news_audience)> collect;
    const std::function<void(std::uint64_t, const load_news &)> onNews;
    const clock_source clock;
    const step_faults faults;
    datagram_port port;
    raised_flag stopping;
    std::thread thread;
    std::mutex guard;
    std::vector<endpoint> near;
    std::vector<endpoint> far;

    // Of the thread alone.
    mono_time nextAt{}; ///< When to tell again.
    mono_time farAt{}; ///< When the far ones are due.
    std::array<bool, newsAudiences> wereQuiet{};
};

load_exchange::load_exchange(datagram_settings choices,
                             std::function<load_news(news_audience)> collect,
                             std::function<void(std::uint64_t, const load_news &)> onNews,
                             clock_source clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(choices), std::move(collect), std::move(onNews),
                                    std::move(clock), metrics, events))
{ }

load_exchange::~load_exchange()
{
    stop();
}

result<unit> load_exchange::start()
{
    const auto opened = inner->port.open();
    if (!succeeded(opened))
        return errorOf(opened);
    inner->thread = startNamed("load_news", [this] { inner->run(); });
    return unit{};
}

void load_exchange::stop()
{
    inner->stopping.raise();
    if (inner->thread.joinable())
        inner->thread.join();
}

void load_exchange::setPeers(std::vector<endpoint> near, std::vector<endpoint> far)
{
    const std::lock_guard lock(inner->guard);
    inner->near = std::move(near);
    inner->far = std::move(far);
}

/// News are hints, and collected anew each time: those of a step that failed are lost like any
/// datagram.
void load_exchange::state::run()
{
    nextAt = clock.mono();
    while (!stopping.isRaised()) {
        if (!contained(faults, [this] { takeStep(); }))
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

void load_exchange::state::takeStep()
{
    const mono_time now = clock.mono();
    if (now >= nextAt) {
        tellDue(now);
        const std::lock_guard lock(guard);
        nextAt = now
                + loadNewsInterval(near.size(), near.size() + far.size(),
                                   config::loadNewsPerSecond);
    }
    const auto left = std::chrono::ceil<milliseconds>(nextAt - clock.mono());
    waitForSocket(port.descriptorNumber(), POLLIN,
                  socket_clock::now() + std::max(left, milliseconds(0)),
                  stopping.descriptorNumber());
    port.receive([this](std::uint64_t sender, std::string_view payload) {
        return hear(sender, payload);
    });
}

void load_exchange::state::tellDue(mono_time now)
{
    std::vector<endpoint> nearPeers;
    std::vector<endpoint> farPeers;
    {
        const std::lock_guard lock(guard);
        nearPeers = near;
        if (now >= farAt) {
            farPeers = far;
            farAt = now
                    + loadNewsInterval(far.size(), near.size() + far.size(),
                                       config::farLoadNewsPerSecond);
        }
    }
    tellAudience(news_audience::Near, nearPeers);
    tellAudience(news_audience::Far, farPeers);
}

void load_exchange::state::tellAudience(news_audience audience, const std::vector<endpoint> &to)
{
    if (to.empty())
        return;
    const load_news news = collect(audience);
    // The first empty news says that all is done; more of the same say nothing.
    const bool isQuiet = news.work.empty() && news.cached.empty();
    bool &wasQuiet = wereQuiet[static_cast<std::size_t>(audience)];
    if (!std::exchange(wasQuiet, isQuiet) || !isQuiet)
        port.send(to, encode(news));
}

bool load_exchange::state::hear(std::uint64_t sender, std::string_view payload)
{
    const auto news = decodeLoadNews(payload);
    if (!succeeded(news))
        return false;
    // There is no pause: news of other senders would wait.
    return contained(faults, [&] { onNews(sender, valueOf(news)); });
}

} // namespace poplarspool::peer
