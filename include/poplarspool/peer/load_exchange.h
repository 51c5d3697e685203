#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/policy/view.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::peer {

/// Requests of one rank that wait at a runner.
struct ranked_work
{
    std::uint32_t waiting = 0; ///< Requests that have not begun.
    std::uint32_t prefillMs = 0; ///< Estimated prefill time of these.

    bool operator==(const ranked_work &) const = default;
};

/// Ranks of urgent requests that load updates tell apart; the lowest includes all ranks below it.
inline constexpr std::size_t rankLevels = 4;

/// Requests of one instance at one runner.
struct runner_work
{
    std::uint32_t runner = 0; ///< runnerKey() of its id.
    std::uint32_t open = 0; ///< Requests sent that have not ended.
    std::uint32_t urgentPrefillMs = 0; ///< Estimated prefill time of urgent requests not begun.
    /// Estimated prefill time of late requests not begun, which wait for urgent ones.
    std::uint32_t latePrefillMs = 0;
    /// Running total of prompt tokens that this instance has added to the runner's cache; wraps
    /// around at 2^32.
    std::uint32_t prefilledTokens = 0;
    std::uint32_t urgentWaiting = 0; ///< Urgent requests that have not begun.
    std::uint32_t lateWaiting = 0; ///< Late requests that have not begun.
    /// Of the urgent requests, those of rank 1, of rank 2, and of lower ranks.
    std::array<ranked_work, rankLevels - 1> lowerRanks{};

    bool operator==(const runner_work &) const = default;
};

/// A prompt prefix that a runner was sent and keeps in its cache for a while.
struct cached_prefix
{
    std::uint32_t runner = 0;
    std::uint32_t prefixHash = 0; ///< Low half of the hash of the prefix.
    bool isPrefilled = false; ///< Prefill has ended; before that, other runners can't copy it.

    bool operator==(const cached_prefix &) const = default;
};

/// Work that one instance has given to a workspace recently.
struct workspace_work
{
    std::uint32_t workspace = 0; ///< workspaceKey() of its id.
    std::uint32_t work = 0; ///< Prompt tokens, and their equivalent for generated ones.

    bool operator==(const workspace_work &) const = default;
};

/// Duration of one prefill on a runner.
struct engine_sample
{
    std::uint32_t runner = 0; ///< runnerKey() of its id.
    std::uint32_t pacePercent = 0; ///< Of the expected duration.

    bool operator==(const engine_sample &) const = default;
};

/// Load update of one instance. Only a hint: the datagram may be lost, and its data is soon stale.
struct load_update
{
    std::vector<runner_work> work; ///< Complete: runners not listed have no requests of the sender.
    std::vector<cached_prefix> cached; ///< Prefixes added recently.
    std::uint32_t zone = 0; ///< zoneKey() of the sender; 0 if unknown.
    /// Number of updates that a zone's digest is split into, by the runners' keys, and the number
    /// of this one; 0 parts: the update is of the sender alone. A digest contains the sum of all
    /// instances of the zone.
    std::uint32_t digestParts = 0;
    std::uint32_t digestPart = 0;
    std::uint64_t origin = 0; ///< Number of the instance that made the digest.
    bool mustForward = false; ///< The receiver forwards it to the instances of its own zone.
    std::vector<workspace_work> workspaces = {}; ///< Heaviest first. Only for the sender's zone.
    std::vector<engine_sample> samples =
            {}; ///< New since the last update. Only for the sender's zone.

    bool isDigest() const { return digestParts > 0; }
    bool operator==(const load_update &) const = default;
};

/// @returns Hash that identifies a zone in load updates; never 0.
std::uint32_t zoneKey(const zone_id &zone);

/// @returns Hash that identifies a runner in load updates.
std::uint32_t runnerKey(const runner_id &id);

/// @param id Text of the workspace's id; empty for callers without a workspace.
/// @returns Hash that identifies a workspace in load updates.
std::uint32_t workspaceKey(std::string_view id);

/// @returns TooLarge if the update exceeds a bound.
result<std::string> encode(const load_update &update);
result<load_update> decodeLoadUpdate(std::string_view payload);

/// Recipients of an update: the instances in the sender's availability zone, or all others, which
/// get the same data at another interval.
enum class update_recipients { SameZone, OtherZones };
inline constexpr std::size_t updateRecipientGroups = 2;

/// @param peers Number of instances in the recipient group.
/// @param others Number of all other instances in the fleet.
/// @param datagramsPerSecond Rate at which one instance sends to the group in a fleet that is
///                           small enough for the full rate.
/// @returns Time between two updates to the group.
milliseconds loadUpdateInterval(std::size_t peers, std::size_t others,
                                std::size_t datagramsPerSecond);

/// Whether an instance sends the sum of its zone to other zones, instead of its own update to each
/// instance there. Small zones save nothing by that.
/// @param sameZone Number of other instances in the zone.
bool usesDigests(std::size_t sameZone);

/// Instances of one zone, in the order in which they take the parts of another zone's digest and
/// forward them.
using digest_forwarders = std::vector<endpoint>;

/// Where an instance sends the digest of its zone.
struct digest_recipients
{
    std::vector<digest_forwarders> zones; ///< Those that get it from this instance.
    std::size_t otherZones = 0; ///< Number of all other zones.

    bool operator==(const digest_recipients &) const = default;
};

/// For each ordered pair of zones, one instance of the first sends the digest, and the instances of
/// the second forward a part each: one that forwarded all parts to all of its zone would fill its
/// link.
/// @param alive All members that are in service, with this one.
/// @param port Port of load updates, the same on all instances.
digest_recipients digestRecipientsOf(const std::vector<policy::member> &alive,
                                     const instance_id &self, std::uint16_t port);

/// @param datagrams Parts of a digest, times the zones from which an instance gets one.
/// @param sameZone Interval of the updates within the zone.
/// @returns Time between two digests.
milliseconds digestInterval(std::size_t datagrams, milliseconds sameZone);

/// Times between two updates to the instances of the own zone and to all others; nullopt: they get
/// none.
struct load_intervals
{
    std::optional<milliseconds> sameZone;
    std::optional<milliseconds> otherZones;

    bool operator==(const load_intervals &) const = default;
};

/// In fleets that are too large for config::maxLoadUpdateInterval, updates that are rarer would be
/// outdated for most of the time. The instances of other zones then get none, and those of the own
/// zone get them the more often.
load_intervals loadUpdateIntervals(std::size_t sameZone, std::size_t otherZones);

/// Exchanges load updates with every other instance: many times a second within the availability
/// zone, less often with other zones in large fleets. Gossip would deliver the updates two or
/// three rounds later, when half of a request's duration has passed.
class load_exchange
{
public:
    /// @param collect Returns the update to send. Called on the thread of the exchange, as are
    ///                the others.
    /// @param collectDigest Returns the parts of the zone's digest.
    /// @param onUpdate Gets the sender's number and its update, in the order in which it sent them.
    load_exchange(datagram_settings settings, std::function<load_update(update_recipients)> collect,
                  std::function<std::vector<load_update>()> collectDigest,
                  std::function<void(std::uint64_t sender, const load_update &)> onUpdate,
                  clock_source clock, metrics_registry &metrics, journal &events);
    ~load_exchange();

    result<unit> start();
    void stop();
    /// Sets the recipients.
    /// @param sameZone Instances in the own availability zone. They get updates most often, since
    ///                 most requests stay in their zone and traffic between zones is expensive.
    /// @param otherZones All other instances.
    void setPeers(std::vector<endpoint> sameZone, std::vector<endpoint> otherZones);
    /// Sets the instances in other zones that get the zone's digest from this one.
    void setDigestRecipients(digest_recipients recipients);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
