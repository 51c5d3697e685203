#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/peer/store_update.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace poplarspool::peer {

/// State of one kind of objects at this instance.
struct known_kind
{
    std::uint32_t kind = 0;
    store_version version;
    mono_time confirmedAt{}; ///< When the store last confirmed that `version` was the newest.
};

/// How long an instance relies on what relays tell it of one kind.
struct reliance_limits
{
    milliseconds trustTime{0}; ///< Maximum age of a confirmation by the store.
    /// Time after which an instance asks the store itself, from when no relay covers it any more:
    /// until then another one may take over.
    milliseconds fallbackDelay{0};

    bool operator==(const reliance_limits &) const = default;
};

/// Whether an instance can be a relay.
enum class relay_ability {
    None, ///< It has no recipients, or the store did not answer its last call.
    Unproven, ///< The store has not answered a call of its own for longer than confirmations count.
    Proven,
};

enum class relay_role {
    None,
    Candidate, ///< Becomes a relay once the store has answered a call of its own.
    Relay,
};

/// Why no relay covers a kind for an instance.
enum class uncovered_reason {
    NoRelay, ///< None has sent anything lately.
    Behind, ///< A relay knows a newer version, whose changes have not arrived.
    Refused, ///< The store does not answer the relays.
    Expired, ///< The last confirmation that they passed on is too old.
};

std::string_view nameOf(relay_role role);
std::string_view nameOf(uncovered_reason reason);

/// @returns Number of relays wanted in a fleet with so many other instances.
std::size_t relayCountFor(std::size_t others);

/// Decides whether this instance is a relay, from the store updates it receives, without extra
/// messages or a member list. An instance becomes a relay if it receives updates from fewer relays
/// than wanted and the store answers its own calls, and stops when enough relays with a higher rank
/// exist. Inconsistent views of two instances cost extra calls to the store but lose no update: an
/// instance that receives none watches the store itself.
///
/// @attention Not thread-safe.
class relay_election
{
public:
    /// @param kinds The kinds that this instance follows.
    relay_election(const instance_id &self, std::map<std::uint32_t, reliance_limits> kinds);

    void receive(std::uint64_t sender, const store_update &update, mono_time now);

    /// To be called in every iteration.
    /// @param wantedRelays Number of relays wanted, from relayCountFor().
    relay_role decide(relay_ability ability, std::size_t wantedRelays, mono_time now);
    /// @returns Whether no relay of a higher rank reached this one at the last decide().
    bool isFirstRelay() const { return role == relay_role::Relay && !hasHigherRanked; }
    /// @returns Time at which this instance becomes a relay or a candidate if no update arrives;
    ///          nullopt if it won't.
    std::optional<mono_time> takeoverAt() const;

    /// @returns Time until which relays cover the kind for this instance if no further update
    ///          arrives; nullopt if none does, or if a relay knows a newer version than this
    ///          instance and can't repeat what this one lacks.
    std::optional<mono_time> coveredUntil(const known_kind &known, mono_time now) const;
    /// @returns Why coveredUntil() returns nullopt.
    uncovered_reason whyUncovered(const known_kind &known, mono_time now) const;

private:
    struct received_kind
    {
        mono_time receivedAt{};
        bool isAnswered = false;
        store_version version;
        mono_time confirmedAt{};
        store_version announced; ///< Newest version of the partial updates since.
        mono_time announcedAt{}; ///< Arrival of the first of them.
        std::uint64_t repeatableSince = 0;
    };

    struct relay
    {
        mono_time receivedAt{};
        std::map<std::uint32_t, received_kind> kinds;
    };

    bool isHealthy(const relay &one, mono_time now) const;
    reliance_limits limitsOf(std::uint32_t kind) const;

    const std::uint64_t self; ///< senderNumber() of this instance; also its rank.
    const std::map<std::uint32_t, reliance_limits> limits;
    const milliseconds takeoverDelay; ///< Differs between instances, so that few take over at once.
    std::map<std::uint64_t, relay> relays;
    relay_role role = relay_role::None;
    bool hasHigherRanked = false;
    std::optional<mono_time> shortageSince; ///< Since when there have been too few relays.
};

} // namespace poplarspool::peer
