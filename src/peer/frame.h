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

/// What a frame is; datagrams and TCP streams share one header.
enum class frame_kind : std::uint8_t {
    Gossip = 1, ///< In a datagram.
    Hello = 2, ///< First frame of either side of a connection; no payload.
    Call = 3,
    Reply = 4,
    Load = 5, ///< In a datagram.
    Store = 6, ///< In a datagram.
    Usage = 7, ///< In a datagram.
};

/// Head of every frame between instances.
struct frame_header
{
    frame_kind kind = frame_kind::Gossip;
    std::uint32_t length = 0; ///< Of the payload.
    std::uint64_t sender = 0; ///< senderNumber() of the instance.
    incarnation senderLife = 0;
    incarnation receiverLife = 0; ///< 0 where the sender does not know it.
    std::uint64_t counter = 0; ///< Grows with each frame of one sender, or of one connection.
    std::uint64_t callId = 0; ///< Pairs a question with its answer.
    hybrid_time sentAt; ///< Keeps the effects of this frame after it on the time line.

    bool operator==(const frame_header &) const = default;
};

/// Why a frame is dropped before anything in it is decoded.
enum class frame_fault { Foreign, Truncated, BadMac };

/// Bytes of an encoded header with its MAC.
inline constexpr std::size_t frameHeaderBytes = 79;
inline constexpr std::size_t frameMacBytes = 16;

using frame_key = std::array<unsigned char, 32>;

/// @returns The key of all MACs, derived from the settings' secret.
frame_key deriveFrameKey(std::string_view secret);

/// @returns The number that stands for an instance in headers.
std::uint64_t senderNumber(const instance_id &instance);

/// @returns Header, MAC and payload; the length is filled in.
std::string sealFrame(const frame_key &key, frame_header header, std::string_view payload);

/// Reads a header without trusting it: for streams, which have to know how much to read.
std::variant<frame_header, frame_fault> peekHeader(std::string_view bytes);

struct opened_frame
{
    frame_header header;
    std::string_view payload; ///< Into the bytes that were opened.
};

/// Checks magic, format version, length and MAC, in this order.
std::variant<opened_frame, frame_fault> openFrame(const frame_key &key, std::string_view bytes);

} // namespace poplarspool::peer
