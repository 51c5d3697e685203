#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/datagram_settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::peer {

/// What one instance has going on at one runner.
struct runner_work
{
    std::uint32_t runner = 0; ///< runnerKey() of its id.
    std::uint32_t open = 0; ///< Requests sent and not ended.
    std::uint32_t readingMs = 0; ///< Time for reading the prompts of urgent ones not begun.
    std::uint32_t laterMs = 0; ///< The same of those that all urgent ones overtake.
    /// Tokens of prompts that this instance has put into its cache; counts on, and wraps around.
    std::uint32_t tokensIn = 0;
    std::uint32_t waiting = 0; ///< Urgent ones that have not begun.
    std::uint32_t waitingLater = 0; ///< Such as all urgent ones overtake, not begun.

    bool operator==(const runner_work &) const = default;
};

/// A runner has been given a prompt that begins so, and keeps it in its cache for a while.
struct cached_chain
{
    std::uint32_t runner = 0;
    std::uint32_t chain = 0; ///< Low half of the chain's hash.
    bool isRead = false; ///< The runner has read it; until then, others can't copy it from there.

    bool operator==(const cached_chain &) const = default;
};

/// What one instance tells the others. A hint: it may be lost, and what it says is soon old.
struct load_news
{
    std::vector<runner_work> work; ///< All of it; runners that aren't named have none.
    std::vector<cached_chain> cached; ///< New since lately.

    bool operator==(const load_news &) const = default;
};

/// @returns The number that stands for a runner in these messages.
std::uint32_t runnerKey(const runner_id &id);

/// @returns TooLarge where a bound is broken.
result<std::string> encode(const load_news &news);
result<load_news> decodeLoadNews(std::string_view payload);

/// Whom news go to. Both hear all of it, at their own pace.
enum class news_audience { Near, Far };
inline constexpr std::size_t newsAudiences = 2;

/// @param peers Of one audience.
/// @param others All other instances.
/// @param datagramsPerSecond What one instance of a fleet that isn't large sends to that audience.
/// @returns Time between two messages to the audience.
milliseconds loadNewsInterval(std::size_t peers, std::size_t others,
                              std::size_t datagramsPerSecond);

/// Tells every other instance what this one has sent where, and hears the same from them; those of
/// the own availability zone many times a second, in large fleets the others more rarely. Gossip
/// would spread it too, but two or three rounds late, and half of a request's time is over by then.
class load_exchange
{
public:
    /// @param collect Gives what to tell; called on the exchange's thread, as is onNews.
    /// @param onNews Gets a sender's number and its news, in the sender's order.
    load_exchange(datagram_settings choices, std::function<load_news(news_audience)> collect,
                  std::function<void(std::uint64_t sender, const load_news &)> onNews,
                  clock_source clock, metrics_registry &metrics, journal &events);
    ~load_exchange();

    result<unit> start();
    void stop();
    /// Whom to tell.
    /// @param near In the own availability zone: told most often, since requests mostly stay in
    ///             their zone and bytes between zones are dear.
    /// @param far All others.
    void setPeers(std::vector<endpoint> near, std::vector<endpoint> far);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
