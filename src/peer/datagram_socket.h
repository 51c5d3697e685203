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

/// A UDP socket for frames of one kind. Sent frames get a MAC; invalid, foreign, reordered and
/// duplicate frames are counted and dropped.
///
/// @attention One thread may send while another receives, but neither function may be called by two
///            threads at once.
class datagram_socket
{
public:
    /// @param metric Name of the datagram counter, which has a label for the direction.
    datagram_socket(datagram_settings settings, frame_kind kind, metrics_registry &metrics,
                    const std::string &metric);

    result<unit> open();
    int descriptorNumber() const { return socket.get(); }

    /// @param payload If it holds an error, nothing is sent and the `untold` counter is increased.
    void send(const std::vector<endpoint> &to, const result<std::string> &payload);
    /// Passes all datagrams that have arrived to a handler, in the order in which each sender sent
    /// them.
    /// @param accept Gets the sender's number and the payload. Returns false if it can't decode
    ///               the payload, which then counts as dropped.
    void receive(const std::function<bool(std::uint64_t sender, std::string_view payload)> &accept);

private:
    /// Identifies the last accepted frame of a sender.
    struct sender_position
    {
        incarnation_number incarnation = 0;
        std::uint64_t counter = 0;

        auto operator<=>(const sender_position &) const = default; // NOLINT(modernize-use-nullptr)
    };

    bool acceptFrame(std::string_view bytes,
                     const std::function<bool(std::uint64_t, std::string_view)> &accept);

    const datagram_settings settings;
    const frame_kind kind;
    const frame_key key;
    counter &sent;
    counter &dropped;
    counter &notSent;
    descriptor socket;
    std::map<std::uint64_t, sender_position> lastAccepted;
    std::uint64_t counterSent = 0;
};

} // namespace poplarspool::peer
