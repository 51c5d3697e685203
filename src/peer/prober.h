#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace poplarspool::peer {

/// An unanswered ping of this instance.
struct open_probe
{
    instance_id target;
    incarnation_number incarnation = 0;
    std::uint64_t handle = 0;
    mono_time sentAt{};
    bool isIndirect = false; ///< Other members were requested to ping the target as well.
};

/// A ping sent on behalf of another instance.
struct forwarded_probe
{
    std::uint64_t handle = 0; ///< Handle of the target.
    endpoint origin;
    incarnation_number originIncarnation = 0;
    std::uint64_t originCallId = 0;
    mono_time sentAt{};
};

/// Failure detector (SWIM): probes one member per round, in a random order that visits every
/// member once before it repeats any. The cost does not depend on the number of members. A member
/// that stops answering is probed by some other member about one round later.
///
/// Since a single network path may fail, other members probe a member before it is suspected.
class prober
{
public:
    prober(milliseconds probeTimeout, std::uint64_t seed);

    /// @param candidates Returns the members that are not dead. Called only when a new order
    ///                   starts.
    /// @returns The member to probe next.
    template <class Candidates>
    std::optional<instance_id> next(Candidates candidates)
    {
        if (order.empty()) {
            order = candidates();
            std::shuffle(order.begin(), order.end(), random);
        }
        if (order.empty())
            return std::nullopt;
        instance_id target = std::move(order.back());
        order.pop_back();
        return target;
    }

    /// Records a ping of this instance.
    /// @returns Call id of the ping.
    std::uint64_t open(open_probe probe);
    /// Records a ping to be sent on behalf of another instance.
    /// @returns Call id of that ping.
    std::uint64_t forward(forwarded_probe probe);

    /// @returns The instance to which to forward the Ack, if the ping was sent on behalf of one.
    std::optional<forwarded_probe> onAck(std::uint64_t callId, std::uint64_t handle);
    /// Any datagram with a valid MAC from a member answers all probes of it.
    void onReceived(std::uint64_t handle);

    /// @returns Probes that other members should repeat now.
    std::vector<std::pair<std::uint64_t, open_probe>> takeUnanswered(mono_time now);
    /// @returns Probes that timed out, direct and indirect.
    std::vector<open_probe> takeFailed(mono_time now);
    /// Discards open probes after a pause of this process, in which it could not receive the
    /// answers.
    void reset();

private:
    const milliseconds probeTimeout;
    std::mt19937_64 random;
    std::uint64_t lastCallId;
    std::vector<instance_id> order;
    std::map<std::uint64_t, open_probe> probes;
    std::map<std::uint64_t, forwarded_probe> forwarded;
};

} // namespace poplarspool::peer
