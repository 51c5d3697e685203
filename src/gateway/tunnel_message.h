#pragma once

#include "peer/frame.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

/// The first frame of each side of a tunnel. An instance that can't reach a runner connects to
/// another one, the carrier, and names the runner; the carrier connects to it and says so. From
/// then on the connection carries the bytes of both sides unchanged.
namespace poplarspool::gateway {

struct tunnel_request
{
    instance_id carrier; ///< The instance that is asked.
    runner_id target;
    std::uint64_t startedAtMs = 0; ///< Incarnation of the runner.

    bool operator==(const tunnel_request &) const = default;
};

enum class tunnel_outcome : std::uint8_t {
    Connected = 1,
    Refused = 2, ///< The runner's host refuses the connection.
    Silent = 3, ///< The runner's host does not answer.
    CutOff = 4, ///< The carrier can't reach the runner either, for a cause of its own.
    Rejected = 5, ///< The carrier is busy or leaving.
    Unlisted = 6, ///< The carrier knows no such runner.
    Withdrawn = 7, ///< The runner leaves, or has asked the carrier for rest.
};

std::string_view nameOf(tunnel_outcome outcome);

/// Maximum bytes of the payload of either frame.
inline constexpr std::size_t maxTunnelPayloadBytes = 1024;

/// The instance that sends a frame.
struct tunnel_sender
{
    instance_id instance;
    incarnation_number incarnation = 0;
    peer::frame_key key;
};

/// @param callId The same in a request and its answer.
/// @returns The sealed frame.
std::string tunnelFrame(const tunnel_sender &from, std::uint64_t callId, hybrid_time sentAt,
                        std::string_view payload);

std::string encode(const tunnel_request &request);
result<tunnel_request> decodeTunnelRequest(std::string_view payload);
std::string encode(tunnel_outcome outcome);
result<tunnel_outcome> decodeTunnelOutcome(std::string_view payload);

} // namespace poplarspool::gateway
