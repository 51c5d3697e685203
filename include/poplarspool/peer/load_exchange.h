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

/// Requests of one instance at one runner.
struct runner_work
{
    std::uint32_t runner = 0; ///< runnerKey() of its id.
    std::uint32_t open = 0; ///< Requests sent that have not ended.
    std::uint32_t readingMs = 0; ///< Estimated prefill time of urgent requests not begun.
    std::uint32_t laterMs = 0; ///< The same for low-priority requests, which wait for urgent ones.
    /// Running total of prompt tokens that this instance has added to the
    /// runner's cache; wraps around at 2^32.
    std::uint32_t tokensIn = 0;
    std::uint32_t waiting = 0; ///< Urgent requests that have not begun.
    std::uint32_t waitingLater = 0; ///< Low-priority requests that have not begun.

    bool operator==(const runner_work &) const = default;
};

/// A prompt prefix that a runner was sent and keeps in its cache for a while.
struct cached_chain
{
    std::uint32_t runner = 0;
    std::uint32_t chain = 0; ///< Low half of the hash of the prefix.
    bool isRead = false; ///< Prefill has ended; before that, other runners can't copy it.

    bool operator==(const cached_chain &) const = default;
};

/// Load update of one instance. Only a hint: the datagram may be lost, and its data is soon stale.
struct load_news
{
    std::vector<runner_work> work; ///< Complete: runners not listed have no requests of the sender.
    std::vector<cached_chain> cached; ///< Prefixes added recently.

    bool operator==(const load_news &) const = default;
};

/// @returns Hash that identifies a runner in load updates.
std::uint32_t runnerKey(const runner_id &id);

/// @returns TooLarge if the update exceeds a bound.
result<std::string> encode(const load_news &update);
result<load_news> decodeLoadNews(std::string_view payload);

/// Recipients of an update: the instances in the sender's availability zone, or all others. Both
/// groups get the same data, at different intervals.
enum class news_audience { Near, Far };
inline constexpr std::size_t newsAudiences = 2;

/// @param peers Number of instances in the recipient group.
/// @param others Number of all other instances in the fleet.
/// @param datagramsPerSecond Rate at which one instance sends to the group in a fleet that is
///                           small enough for the full rate.
/// @returns Time between two updates to the group.
milliseconds loadNewsInterval(std::size_t peers, std::size_t others,
                              std::size_t datagramsPerSecond);

/// Exchanges load updates with every other instance: many times a second within the availability
/// zone, less often with other zones in large fleets. Gossip would deliver the updates two or
/// three rounds later, when half of a request's duration has passed.
class load_exchange
{
public:
    /// @param collect Returns the update to send. Called on the thread
    ///                of the exchange, as is onUpdate.
    /// @param onUpdate Gets the sender's number and its update, in the order in which it sent them.
    load_exchange(datagram_settings settings, std::function<load_news(news_audience)> collect,
                  std::function<void(std::uint64_t sender, const load_news &)> onUpdate,
                  clock_source clock, metrics_registry &metrics, journal &events);
    ~load_exchange();

    result<unit> start();
    void stop();
    /// Sets the recipients.
    /// @param sameZone Instances in the own availability zone. They get updates most often, since
    ///                 most requests stay in their zone and traffic between zones is expensive.
    /// @param otherZones All other instances.
    void setPeers(std::vector<endpoint> sameZone, std::vector<endpoint> otherZones);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
