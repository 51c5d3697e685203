#include "poplarspool/duties/usage_exchange.h"

#include "duties/usage_news.h"
#include "peer/datagram_loop.h"
#include "poplarspool/duties/limits.h"
#include "poplarspool/policy/role_owner.h"

#include <algorithm>

namespace poplarspool::duties {

namespace {

constexpr std::string_view keepersKey = "usage";

} // namespace

struct usage_exchange::state
{
    state(peer::datagram_settings choices, std::uint64_t life, usage_parts parts,
          std::function<std::vector<policy::member>()> members, clock_source time,
          metrics_registry &metrics, journal &events)
        : self(choices.self), port(choices.address.port), life(life), parts(parts),
          members(std::move(members)), clock(std::move(time)),
          clocks(metrics.gaugeOf("poplarspool_clocks_heard")),
          loop("usage_news", std::move(choices), peer::frame_kind::Usage,
               "poplarspool_usage_news_total",
               {[this] { return tell(); },
                [this](std::uint64_t sender, std::string_view payload) {
                    return hear(sender, payload);
                }},
               clock, metrics, events)
    { }

    mono_time tell();
    void tellCounts(bool tellsAll, bool isLast);
    void tellTime(const std::vector<policy::member> &all);
    bool hear(std::uint64_t sender, std::string_view payload);
    usage_news newsOf(told_usage usage, bool isLast) const;
    std::vector<endpoint> addressesOf(const std::vector<const policy::member *> &some) const;

    const instance_id self;
    const std::uint16_t port;
    const std::uint64_t life;
    const usage_parts parts;
    const std::function<std::vector<policy::member>()> members;
    const clock_source clock;
    gauge &clocks;
    // Of the loop's thread.
    std::vector<endpoint> keepers;
    bool isKeeper = false;
    mono_time timeToldAt{};
    peer::datagram_loop loop;
};

std::vector<endpoint>
usage_exchange::state::addressesOf(const std::vector<const policy::member *> &some) const
{
    std::vector<endpoint> found;
    for (const policy::member *one : some) {
        if (one->id != self && one->peerAddress.isValid())
            found.push_back({one->peerAddress.host, port});
    }
    return found;
}

usage_news usage_exchange::state::newsOf(told_usage usage, bool isLast) const
{
    return {clock.wall(), parts.time.heard(), isLast, std::move(usage)};
}

mono_time usage_exchange::state::tell()
{
    const std::vector<policy::member> all = members();
    const auto chosen = policy::ownersOf(all, keepersKey, config::usageKeepers);
    std::vector<endpoint> present = addressesOf(chosen);
    isKeeper = std::ranges::any_of(chosen,
                                   [this](const policy::member *one) { return one->id == self; });
    const bool isChanged = present != keepers;
    keepers = std::move(present);
    // A new one has none of the counts so far.
    tellCounts(isChanged, false);
    // Also where nothing was counted: it says that all has been told, and what time it is.
    loop.send(keepers, encode(newsOf({life, 0, {}}, false)));
    tellTime(all);
    const window_number now = windowAt(parts.time.now().at, parts.window);
    parts.ledger.forgetBefore(now - std::min(now, config::usageWindowsKept));
    clocks.set(parts.time.heard().clocks);
    return clock.mono() + config::usageTellTime;
}

void usage_exchange::state::tellCounts(bool tellsAll, bool isLast)
{
    for (told_usage &part : parts.ledger.collect(tellsAll))
        loop.send(keepers, encode(newsOf(std::move(part), isLast)));
}

void usage_exchange::state::tellTime(const std::vector<policy::member> &all)
{
    const mono_time now = clock.mono();
    if (!isKeeper || now - timeToldAt < config::clockTellTime)
        return;
    timeToldAt = now;
    std::vector<const policy::member *> others;
    others.reserve(all.size());
    for (const policy::member &one : all)
        others.push_back(&one);
    loop.send(addressesOf(others), encode(newsOf({life, 0, {}}, false)));
}

bool usage_exchange::state::hear(std::uint64_t sender, std::string_view payload)
{
    const auto read = decodeUsageNews(payload);
    if (!succeeded(read))
        return false;
    const usage_news &news = valueOf(read);
    parts.time.noteClock(sender, news.toldAt);
    parts.time.noteEstimate(sender, news.heard);
    const wall_time now = parts.time.now().at;
    const window_number present = windowAt(now, parts.window);
    const bool isLate = news.usage.window + config::usageWindowsKept < present;
    const bool isEarly = news.usage.window > present + 1;
    if (!news.usage.counts.empty() && !isLate && !isEarly)
        parts.ledger.take(news.usage);
    // Parts with counts come before the one without any.
    if (news.usage.counts.empty() || news.isLast)
        parts.ledger.noteTold(news.usage.life, now, news.isLast);
    return true;
}

usage_exchange::usage_exchange(peer::datagram_settings choices, std::uint64_t life,
                               usage_parts parts,
                               std::function<std::vector<policy::member>()> members,
                               clock_source clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(choices), life, parts, std::move(members),
                                    std::move(clock), metrics, events))
{ }

usage_exchange::~usage_exchange()
{
    stop();
}

result<unit> usage_exchange::start()
{
    return inner->loop.start();
}

void usage_exchange::stop()
{
    inner->loop.stop();
    inner->tellCounts(true, true);
}

} // namespace poplarspool::duties
