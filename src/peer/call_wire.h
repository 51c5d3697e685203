#pragma once

#include "base/socket.h"
#include "peer/frame.h"
#include "poplarspool/base/result.h"
#include "poplarspool/config.h"
#include "poplarspool/peer/messages.h"

#include <string>
#include <string_view>
#include <variant>

/// What a connection between two instances carries.
///
/// The server speaks first: a Hello whose counter is a random number. Every frame of the client
/// carries that number plus one, plus two and so on, its own Hello first. So a recorded connection
/// can't be played again, and a peer without the key is turned away before it can make the server
/// take a payload.
namespace poplarspool::peer {

/// Bytes of one question or answer; the rest of a frame's payload is for what stands around it.
inline constexpr std::size_t maxCallPayloadBytes = config::maxPeerCallBytes - 64;

struct stream_frame
{
    frame_header header;
    std::string payload;
};

using stream_read = std::variant<stream_frame, socket_fault, frame_fault>;

/// Reads one whole frame.
/// @param maxPayload Longer frames are Foreign, and nothing is allocated for them.
stream_read readFrame(int fd, const frame_key &key, std::size_t maxPayload,
                      socket_deadline deadline, int interruptFd);

struct call_request
{
    call_kind kind = call_kind::WatchedState;
    std::string payload;
};

std::string encodeCall(call_kind kind, std::string_view payload);
result<call_request> decodeCall(std::string_view bytes);

std::string encodeReply(const result<std::string> &outcome);
/// @returns The handler's outcome; Broken where the reply itself can't be read.
result<std::string> decodeReply(std::string_view bytes);

/// @returns A number that no one can foresee.
std::uint64_t randomNumber();

} // namespace poplarspool::peer
