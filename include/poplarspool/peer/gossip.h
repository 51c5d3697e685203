#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/policy/view.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::peer {

/// A small key-value entry that is spread to every instance, such as a runner's load. For one key
/// the highest version wins. A rumor that is not renewed within its retention time expires.
struct rumor
{
    std::string key; ///< For example "load/recovery-3"; at most config::maxNameBytes.
    std::uint64_t version = 0;
    std::string payload; ///< At most config::maxRumorBytes.

    bool operator==(const rumor &) const = default;
};

struct gossip_settings
{
    policy::member self; ///< Id, zone, addresses and incarnation are set.
    std::string key; ///< Secret from which the MAC key is derived.
    milliseconds roundInterval;
    milliseconds probeTimeout;
    milliseconds suspicionTimeout;
    std::size_t fanout;
    std::size_t bytesPerSecond;
};

/// Callbacks on the gossip thread; they must not block.
struct gossip_handlers
{
    /// The member list changed. Not called if only loads changed.
    std::function<void(const std::vector<policy::member> &)> onMembers;
    /// A rumor with a new key or a higher version was received.
    std::function<void(const rumor &)> onRumor;
};

/// SWIM-style membership and rumors over UDP. A suspected member can refute the suspicion, a
/// restarted one has a higher incarnation, and leaving is a state of its own. Each datagram
/// carries a MAC, sender, incarnation and counter; a forged, truncated, foreign or replayed
/// datagram is counted and dropped before its payload is parsed.
class gossip
{
public:
    gossip(gossip_settings settings, gossip_handlers handlers, clock_source clock,
           metrics_registry &metrics, journal &events);
    ~gossip();

    /// Binds self.peerAddress and starts the gossip thread.
    result<unit> start();
    /// Announces to some peers that this instance has left, and stops the thread.
    void stop();

    /// Sets the addresses through which to join: seeds and the platform's instance list. They are
    /// contacted until they are known as members.
    void setContacts(std::vector<endpoint> contacts);
    /// Sets the instances that the platform's list marks as leaving. members() reports the worse
    /// of the listed and the gossiped state.
    void setListedLeaving(std::vector<instance_id> leaving);
    /// Sets the applied version that the next heartbeats of this instance carry.
    void setApplied(std::uint64_t appliedVersion, mono_time confirmedAt);
    void setOpenStreams(std::uint32_t count);
    /// Marks this instance as leaving, irrevocably, and announces it at once.
    void setLeaving();
    /// Publishes a rumor, or renews one that was published before.
    void spread(rumor item);

    /// @returns All members that are not dead, this instance included, sorted by id.
    std::vector<policy::member> members() const;
    std::vector<rumor> rumors() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
