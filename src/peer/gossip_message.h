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
    Tell = 0, ///< News, no answer wanted.
    Ping = 1, ///< Wants an Ack with the same call id.
    Ack = 2,
    PingRequest = 3, ///< Wants the subject pinged, and its Ack passed back.
    Join = 4, ///< Wants a page of the receiver's table.
    Page = 5,
};

/// The heartbeat of a member that the receiver knows by its handle.
struct known_pulse
{
    std::uint64_t handle = 0;
    member_pulse pulse;

    bool operator==(const known_pulse &) const = default;
};

/// A rumor on its way.
struct travelling_rumor
{
    rumor news;
    std::uint32_t renewal = 0; ///< Grows when one version is spread again.
    mono_time spreadAt{}; ///< On this instance's clock.

    bool operator==(const travelling_rumor &) const = default;
};

/// Payload of a datagram.
struct gossip_message
{
    gossip_purpose purpose = gossip_purpose::Tell;
    std::uint64_t subject = 0; ///< Handle of who is to be pinged, or has answered.
    std::uint32_t page = 0; ///< Join: first record wanted. Page: the next one; 0 after the last.
    std::vector<member_record> records;
    std::vector<known_pulse> pulses;
    std::vector<travelling_rumor> rumors;

    bool operator==(const gossip_message &) const = default;
};

/// Times travel as ages, because clocks of two instances have nothing in common.
/// @param now Time at which the message leaves.
std::string encodeGossip(const gossip_message &message, mono_time now);

/// @param arrivedAt Ages are counted back from here: not later than the message's arrival.
result<gossip_message> decodeGossip(std::string_view payload, mono_time arrivedAt);

// Upper bounds of what one item takes on the wire, to fill a datagram without trying.
std::size_t wireBytesOf(const member_record &record);
std::size_t wireBytesOf(const known_pulse &pulse);
std::size_t wireBytesOf(const travelling_rumor &rumor);
/// Of a message without any item.
inline constexpr std::size_t emptyMessageBytes = 24;

} // namespace poplarspool::peer
