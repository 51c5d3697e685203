#pragma once

#include "base/socket.h"
#include "peer/frame.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/messages.h"

#include <string>
#include <string_view>
#include <variant>

/// Wire protocol of a TCP connection between two instances.
///
/// The server sends the first frame, a Hello whose counter is a random number. The frames of the
/// client, beginning with its own Hello, carry that number plus one, plus two and so on. So a
/// recorded connection can't be replayed, and a peer without the key is rejected before the server
/// accepts a payload from it.
namespace poplarspool::peer {

/// Maximum bytes of one request or reply; the rest of the frame's payload is left for its envelope.
inline constexpr std::size_t maxCallPayloadBytes = config::maxPeerCallBytes - 64;

struct stream_frame
{
    frame_header header;
    std::string payload;
};

using stream_read = std::variant<stream_frame, socket_fault, frame_fault>;

/// Reads one complete frame.
/// @param maxPayload In bytes. Longer frames are Foreign; nothing is allocated for them.
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
/// @returns The outcome of the handler; Broken if the reply itself can't be decoded.
result<std::string> decodeReply(std::string_view bytes);

/// @returns A cryptographically secure random number.
std::uint64_t randomNumber();

} // namespace poplarspool::peer
