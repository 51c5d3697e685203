#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/fleet.h"
#include "poplarspool/streams/stream_origin.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::streams {

/// What the registry needs from its instance.
struct origin_dependencies
{
    instance_id self;
    /// Sends a payload to other instances. Thread-safe.
    std::function<void(const std::vector<endpoint> &to, const result<std::string> &payload)> send;
    const peer::fleet_view &fleet;
    clock_source clock;
    metrics_registry &metrics;
};

struct found_origin
{
    stream_origin origin;
    instance_id holder; ///< The instance that keeps the record.
    bool isOwn = false; ///< That is this instance.

    bool operator==(const found_origin &) const = default;
};

/// Knows together with the other instances which software version began which stream. The instance
/// that passes a stream on keeps the record and tells it to a few holders, which rendezvous hashing
/// chooses by the stream's key; an instance at which a caller takes the stream up asks them.
/// Thread-safe.
class origin_registry
{
public:
    explicit origin_registry(origin_dependencies given);
    ~origin_registry();

    /// Records who began the stream and tells the holders, without waiting for them.
    void record(stream_key key, const stream_origin &origin);
    /// May wait for other instances' replies, for at most config::originReplyTimeout.
    /// @returns None if nobody who was reached knows it.
    std::optional<found_origin> find(stream_key key);

    // Called from the thread that exchanges the datagrams.

    /// @returns False if the payload can't be decoded.
    bool receive(std::uint64_t sender, std::string_view payload);
    /// Publishes the number of records.
    /// @returns When to call it again.
    mono_time updateGauges();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// @returns Where the instance exchanges origins: four ports after its address for gossip.
endpoint originAddressOf(const endpoint &peerAddress);

} // namespace poplarspool::streams
