#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/peer/store_update.h"

#include <cstdint>
#include <map>
#include <optional>

namespace poplarspool::peer {

/// State of one kind of objects at this instance.
struct known_kind
{
    std::uint32_t kind = 0;
    store_version version;
    mono_time confirmedAt{}; ///< When the store last confirmed that `version` was the newest.
};

/// @returns Number of relays wanted in a fleet with so many other instances.
std::size_t relayCountFor(std::size_t others);

/// Decides whether this instance is a relay, from the store updates it receives, without extra
/// messages or a member list. An instance becomes a relay if it receives updates from fewer relays
/// than wanted, and stops when enough relays with a higher rank exist. Inconsistent views of two
/// instances cost extra calls to the store but lose no update: an instance that receives none
/// watches the store itself.
///
/// @attention Not thread-safe.
class relay_election
{
public:
    explicit relay_election(const instance_id &self);

    void receive(std::uint64_t sender, const store_update &update, mono_time now);

    /// To be called in every iteration.
    /// @param canRelay Whether this instance has recipients and the store answers its calls.
    /// @param wantedRelays Number of relays wanted, from relayCountFor().
    /// @returns Whether this instance is a relay.
    bool decide(bool canRelay, std::size_t wantedRelays, mono_time now);
    /// @returns Time at which this instance becomes a relay if no update arrives; nullopt if it
    ///          won't.
    std::optional<mono_time> takeoverAt() const;

    /// @param maxAge Maximum age of a confirmation by the store.
    /// @returns Time until which relays cover the kind for this instance if no further update
    ///          arrives; nullopt if none does, or if a relay knows a newer version than this
    ///          instance.
    std::optional<mono_time> coveredUntil(const known_kind &known, milliseconds maxAge,
                                          mono_time now) const;

private:
    struct received_kind
    {
        bool isAnswered = false;
        store_version version;
        mono_time confirmedAt{};
        store_version announced; ///< Newest version of the partial updates since.
        mono_time announcedAt{}; ///< Arrival of the first of them.
    };

    struct relay
    {
        mono_time receivedAt{};
        std::map<std::uint32_t, received_kind> kinds;

        bool isHealthy(mono_time now) const;
    };

    const std::uint64_t self; ///< senderNumber() of this instance; also its rank.
    const milliseconds takeoverDelay; ///< Differs between instances, so that few take over at once.
    std::map<std::uint64_t, relay> relays;
    bool isRelay = false;
    std::optional<mono_time> shortageSince; ///< Since when there have been too few relays.
};

} // namespace poplarspool::peer
