#include "poplarspool/peer/load_exchange.h"

#include "peer/datagram_loop.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <array>
#include <mutex>

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
          loop("load_news", std::move(choices), frame_kind::Load, "poplarspool_load_news_total",
               {[this] { return tell(); },
                [this](std::uint64_t sender, std::string_view payload) {
                    return hear(sender, payload);
                }},
               this->clock, metrics, events)
    { }

    mono_time tell();
    void tellDue(mono_time now);
    void tellAudience(news_audience audience, const std::vector<endpoint> &to);
    bool hear(std::uint64_t sender, std::string_view payload);

    const std::function<load_news(news_audience)> collect;
    const std::function<void(std::uint64_t, const load_news &)> onNews;
    const clock_source clock;
    std::mutex guard;
    std::vector<endpoint> near;
    std::vector<endpoint> far;

    // Of the loop's thread alone.
    mono_time farAt{}; ///< When the far ones are due.
    std::array<bool, newsAudiences> wereQuiet{};
    datagram_loop loop;
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
    return inner->loop.start();
}

void load_exchange::stop()
{
    inner->loop.stop();
}

void load_exchange::setPeers(std::vector<endpoint> near, std::vector<endpoint> far)
{
    const std::lock_guard lock(inner->guard);
    inner->near = std::move(near);
    inner->far = std::move(far);
}

mono_time load_exchange::state::tell()
{
    const mono_time now = clock.mono();
    tellDue(now);
    const std::lock_guard lock(guard);
    return now + loadNewsInterval(near.size(), near.size() + far.size(), config::loadNewsPerSecond);
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
        loop.send(to, encode(news));
}

bool load_exchange::state::hear(std::uint64_t sender, std::string_view payload)
{
    const auto news = decodeLoadNews(payload);
    if (!succeeded(news))
        return false;
    onNews(sender, valueOf(news));
    return true;
}

} // namespace poplarspool::peer
