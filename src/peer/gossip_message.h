#pragma once

#include "peer/member_record.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/gossip.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::peer {

enum class gossip_purpose : std::uint8_t {
    Update = 0, ///< Updates only; expects no answer.
    Ping = 1, ///< Expects an Ack with the same call id.
    Ack = 2,
    PingRequest = 3, ///< Asks the receiver to ping the subject and forward its Ack.
    Join = 4, ///< Requests a page of the receiver's member table.
    Page = 5,
};

/// Heartbeat of a member without its record; a receiver that does not know the handle requests the
/// record.
struct heartbeat_update
{
    std::uint64_t handle = 0;
    member_heartbeat heartbeat;

    bool operator==(const heartbeat_update &) const = default;
};

/// A rumor as sent between instances.
struct rumor_update
{
    rumor value;
    std::uint32_t renewal = 0; ///< Increases when the same version is published again.
    mono_time spreadAt{}; ///< Time of publishing, on this instance's clock.

    bool operator==(const rumor_update &) const = default;
};

/// Payload of a gossip datagram.
struct gossip_message
{
    gossip_purpose purpose = gossip_purpose::Update;
    std::uint64_t subject = 0; ///< Handle of the member to be pinged, or that has answered.
    /// In a Join: index of the first record wanted. In a Page: index at which the next page starts;
    /// 0 after the last page.
    std::uint32_t page = 0;
    std::vector<member_record> records;
    std::vector<heartbeat_update> heartbeats;
    std::vector<rumor_update> rumors;

    bool operator==(const gossip_message &) const = default;
};

/// Times are encoded as ages, because monotonic clocks of two instances are unrelated.
/// @param now Time of sending.
std::string encodeGossip(const gossip_message &message, mono_time now);

/// @param arrivedAt Reference time for ages; must not be later than the message's arrival.
result<gossip_message> decodeGossip(std::string_view payload, mono_time arrivedAt);

// Upper bounds of an item's encoded size, to fill a datagram without encoding it repeatedly.
std::size_t wireBytesOf(const member_record &record);
std::size_t wireBytesOf(const heartbeat_update &heartbeat);
std::size_t wireBytesOf(const rumor_update &rumor);
/// Bytes of a message without items.
inline constexpr std::size_t emptyMessageBytes = 24;

} // namespace poplarspool::peer
