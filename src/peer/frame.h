#pragma once

#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace poplarspool::peer {

/// Kind of a frame. Datagrams and TCP streams use the same header.
enum class frame_kind : std::uint8_t {
    Gossip = 1, ///< Sent in a datagram.
    Hello = 2, ///< First frame of each side of a connection; has no payload.
    Call = 3,
    Reply = 4,
    Load = 5, ///< Sent in a datagram.
    Store = 6, ///< Sent in a datagram.
    Usage = 7, ///< Sent in a datagram.
    Limit = 8, ///< Sent in a datagram.
    Tunnel = 9, ///< First frame of each side of a tunnel; plain bytes follow.
    StreamOrigin = 10, ///< Sent in a datagram.
    Crash = 11, ///< Sent in a datagram.
    Withdrawal = 12, ///< Sent in a datagram.
};

/// Header of every frame between instances.
struct frame_header
{
    frame_kind kind = frame_kind::Gossip;
    std::uint32_t length = 0; ///< Bytes of the payload.
    std::uint64_t sender = 0; ///< senderNumber() of the instance.
    incarnation_number senderIncarnation = 0;
    incarnation_number receiverIncarnation = 0; ///< 0 if the sender does not know it.
    std::uint64_t counter = 0; ///< Increases with each frame of a sender or connection.
    std::uint64_t callId = 0; ///< Matches a reply to its request.
    hybrid_time sentAt; ///< Orders events caused by this frame after its sending.

    bool operator==(const frame_header &) const = default;
};

/// Why a frame is dropped before its payload is decoded.
enum class frame_fault { Foreign, Truncated, BadMac };

/// Bytes of an encoded header including its MAC.
inline constexpr std::size_t frameHeaderBytes = 79;
inline constexpr std::size_t frameMacBytes = 16;

using frame_key = std::array<unsigned char, 32>;

/// @returns The key for all MACs, derived from the secret in the settings.
frame_key deriveFrameKey(std::string_view secret);

/// @returns Hash that identifies an instance in headers.
std::uint64_t senderNumber(const instance_id &instance);

/// @returns Header, MAC and payload. Sets the length in the header.
std::string sealFrame(const frame_key &key, frame_header header, std::string_view payload);

/// Decodes a header without verifying the MAC. A stream reader needs the length before it can read
/// the payload.
std::variant<frame_header, frame_fault> peekHeader(std::string_view bytes);

struct opened_frame
{
    frame_header header;
    std::string_view payload; ///< View into the bytes passed to openFrame().
};

/// Checks magic, format version, length and MAC, in this order.
std::variant<opened_frame, frame_fault> openFrame(const frame_key &key, std::string_view bytes);

} // namespace poplarspool::peer
