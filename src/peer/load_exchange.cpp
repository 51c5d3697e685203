#include "poplarspool/peer/load_exchange.h"

#include "base/socket.h"
#include "peer/frame.h"
#include "peer/numeric_address.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <map>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace poplarspool::peer {

namespace {

/// The last frame of a sender that was taken.
struct sender_mark
{
    incarnation life = 0;
    std::uint64_t counter = 0;

    auto operator<=>(const sender_mark &) const = default; // NOLINT(modernize-use-nullptr)
};

/// With more instances each tells more rarely, so that its datagrams stay within a budget.
milliseconds intervalFor(std::size_t peers, std::size_t datagramsPerSecond)
{
    return std::max(milliseconds(1000 * peers / datagramsPerSecond), config::loadNewsTime);
}

} // namespace

struct load_exchange::state
{
    void run();
    void tellDue(mono_time now);
    void tellAudience(news_audience audience, const std::vector<endpoint> &to);
    void tell(const std::vector<endpoint> &to, const load_news &news);
    void hearAll();
    void hear(std::string_view bytes);

    load_exchange_settings choices;
    std::function<load_news(news_audience)> collect;
    std::function<void(std::uint64_t, const load_news &)> onNews;
    clock_source clock;
    counter *sent = nullptr;
    counter *dropped = nullptr;
    frame_key key{};
    descriptor socket;
    raised_flag stopping;
    std::thread thread;
    std::mutex guard;
    std::vector<endpoint> near;
    std::vector<endpoint> far;

    // Of the thread alone.
    std::map<std::uint64_t, sender_mark> marks;
    std::uint64_t counterSent = 0;
    mono_time farAt{}; ///< When the far ones are due.
    std::array<bool, newsAudiences> wereQuiet{};
};

load_exchange::load_exchange(load_exchange_settings choices,
                             std::function<load_news(news_audience)> collect,
                             std::function<void(std::uint64_t, const load_news &)> onNews,
                             clock_source clock, metrics_registry &metrics)
    : inner(std::make_unique<state>())
{
    inner->key = deriveFrameKey(choices.key);
    inner->choices = std::move(choices);
    inner->collect = std::move(collect);
    inner->onNews = std::move(onNews);
    inner->clock = std::move(clock);
    inner->sent = &metrics.counterOf("poplarspool_load_news_total{direction=\"sent\"}");
    inner->dropped = &metrics.counterOf("poplarspool_load_news_total{direction=\"dropped\"}");
}

load_exchange::~load_exchange()
{
    stop();
}

result<unit> load_exchange::start()
{
    const auto address = numericAddressOf(inner->choices.address);
    const error failure =
            notRun(error_code::Unavailable, "can't bind UDP " + textOf(inner->choices.address));
    if (!address)
        return failure;
    inner->socket =
            descriptor(::socket(address->family(), SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!inner->socket.isOpen() || bind(inner->socket.get(), address->get(), address->size) != 0)
        return failure;
    inner->thread = std::thread([this] { inner->run(); });
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

void load_exchange::state::run()
{
    mono_time nextAt = clock.mono();
    while (!stopping.isRaised()) {
        const mono_time now = clock.mono();
        if (now >= nextAt) {
            tellDue(now);
            const std::lock_guard lock(guard);
            nextAt = now + intervalFor(near.size(), config::loadNewsPerSecond);
        }
        const auto left = std::chrono::ceil<milliseconds>(nextAt - clock.mono());
        waitForSocket(socket.get(), POLLIN, socket_clock::now() + std::max(left, milliseconds(0)),
                      stopping.descriptorNumber());
        hearAll();
    }
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
            farAt = now + intervalFor(far.size(), config::farLoadNewsPerSecond);
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
        tell(to, news);
}

void load_exchange::state::tell(const std::vector<endpoint> &to, const load_news &news)
{
    frame_header header;
    header.kind = frame_kind::Load;
    header.sender = senderNumber(choices.self);
    header.senderLife = choices.life;
    header.counter = ++counterSent;
    const std::string frame = sealFrame(key, header, encode(news));
    for (const endpoint &peer : to) {
        const auto address = numericAddressOf(peer);
        if (!address)
            continue;
        // A datagram that the kernel refuses is lost like any other.
        sendto(socket.get(), frame.data(), frame.size(), MSG_DONTWAIT, address->get(),
               address->size);
        sent->add();
    }
}

void load_exchange::state::hearAll()
{
    std::array<char, config::maxDatagramBytes + 1> buffer; // NOLINT: filled by recv()
    while (!stopping.isRaised()) {
        const ssize_t size = recv(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            return;
        hear({buffer.data(), static_cast<std::size_t>(size)});
    }
}

/// Late and repeated datagrams are dropped: an older state would undo a newer one.
void load_exchange::state::hear(std::string_view bytes)
{
    const auto opened = openFrame(key, bytes);
    const auto *frame = std::get_if<opened_frame>(&opened);
    if (frame == nullptr || frame->header.kind != frame_kind::Load)
        return dropped->add();
    const sender_mark mark{frame->header.senderLife, frame->header.counter};
    sender_mark &last = marks[frame->header.sender];
    const auto news = decodeLoadNews(frame->payload);
    if (mark <= last || !succeeded(news))
        return dropped->add();
    last = mark;
    onNews(frame->header.sender, valueOf(news));
}

} // namespace poplarspool::peer
