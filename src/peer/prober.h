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

/// A member that was pinged and has not answered yet.
struct open_probe
{
    instance_id target;
    incarnation life = 0;
    std::uint64_t handle = 0;
    mono_time sentAt{};
    bool isIndirect = false; ///< Others were asked to try.
};

/// A ping that another instance asked for.
struct relayed_probe
{
    std::uint64_t handle = 0; ///< Of the target.
    endpoint origin;
    incarnation originLife = 0;
    std::uint64_t originCall = 0;
    mono_time sentAt{};
};

/// Detects silence by direct probes, one member a round, in an order that reaches each member once
/// before any twice. Its cost does not depend on the number of members; a member that falls silent
/// is found by whoever probes it next, about one round later.
///
/// One lost path is not silence: before a member is suspected, others probe it as well.
class prober
{
public:
    prober(milliseconds suspectTime, std::uint64_t seed);

    /// @param candidates Living members; asked for only when a new order is due.
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

    /// @returns Call id of the ping.
    std::uint64_t open(open_probe probe);
    /// @returns Call id of the ping to pass on.
    std::uint64_t relay(relayed_probe probe);

    /// @returns Whom to pass the answer to, where the ping was another's.
    std::optional<relayed_probe> onAck(std::uint64_t callId, std::uint64_t handle);
    /// Anything authentic from a member is an answer to all probes of it.
    void onHeard(std::uint64_t handle);

    /// @returns Probes that others should try now.
    std::vector<std::pair<std::uint64_t, open_probe>> takeUnanswered(mono_time now);
    /// @returns Probes that nobody had an answer to.
    std::vector<open_probe> takeFailed(mono_time now);
    /// Forgets what is open: this instance was stopped, and the silence may be its own.
    void reset();

private:
    const milliseconds suspectTime;
    std::mt19937_64 random;
    std::uint64_t lastCall;
    std::vector<instance_id> order;
    std::map<std::uint64_t, open_probe> probes;
    std::map<std::uint64_t, relayed_probe> relays;
};

} // namespace poplarspool::peer
