#pragma once

#include "base/socket.h"
#include "peer/frame.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/datagram_settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::peer {

/// A UDP socket for one kind of frames. Frames are sealed; bad, foreign, late and repeated ones are
/// counted and dropped.
///
/// @attention Calls of send() must not overlap, nor calls of receive(); one of each may.
class datagram_port
{
public:
    /// @param metric Name of the counter of datagrams, by direction.
    datagram_port(datagram_settings choices, frame_kind kind, metrics_registry &metrics,
                  const std::string &metric);

    result<unit> open();
    int descriptorNumber() const { return socket.get(); }

    /// @param payload Counted as untold where it could not be encoded.
    void send(const std::vector<endpoint> &to, const result<std::string> &payload);
    /// Hands on what has arrived, in each sender's order.
    /// @param take Gets the sender's number and the payload.
    /// @returns False where it can't be read; it counts as dropped.
    void receive(const std::function<bool(std::uint64_t sender, std::string_view payload)> &take);

private:
    /// The last frame of a sender that was taken.
    struct sender_mark
    {
        incarnation life = 0;
        std::uint64_t counter = 0;

        auto operator<=>(const sender_mark &) const = default; // NOLINT(modernize-use-nullptr)
    };

    bool takeFrame(std::string_view bytes,
                   const std::function<bool(std::uint64_t, std::string_view)> &take);

    const datagram_settings choices;
    const frame_kind kind;
    const frame_key key;
    counter &sent;
    counter &dropped;
    counter &untold;
    descriptor socket;
    std::map<std::uint64_t, sender_mark> marks;
    std::uint64_t counterSent = 0;
};

} // namespace poplarspool::peer
