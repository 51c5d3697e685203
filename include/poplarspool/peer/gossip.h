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

/// A small fact that every instance should hear, such as a runner's load. Of two with one key the
/// higher version wins; a rumor not renewed for a while is forgotten.
struct rumor
{
    std::string key; ///< Such as "load/recovery-3"; at most config::maxNameBytes.
    std::uint64_t version = 0;
    std::string payload; ///< At most config::maxRumorBytes.

    bool operator==(const rumor &) const = default;
};

struct gossip_settings
{
    policy::member self; ///< With id, zone, addresses and incarnation.
    std::string key; ///< Secret of the MAC.
    milliseconds roundTime;
    milliseconds suspectTime;
    milliseconds deadTime;
    std::size_t fanout;
    std::size_t bytesPerSecond;
};

/// Called on the gossip thread; must not block.
struct gossip_handlers
{
    /// Members changed (not called for mere loads).
    std::function<void(const std::vector<policy::member> &)> onMembers;
    /// A rumor that is newer than what was known.
    std::function<void(const rumor &)> onRumor;
};

/// Membership by gossip over UDP: incarnations, suspicion that the suspect can refute, leaving as a
/// state of its own; and rumors. Each datagram carries a MAC, sender, incarnation and counter; a
/// bad, truncated, foreign or replayed one is dropped unparsed and counted.
class gossip
{
public:
    gossip(gossip_settings choices, gossip_handlers handlers, clock_source clock,
           metrics_registry &metrics, journal &events);
    ~gossip();

    /// Binds self.peerAddress and starts the gossip thread.
    result<unit> start();
    /// Tells some peers a last time and ends the thread.
    void stop();

    /// Peers that may be there: seeds and the instance list. They are asked until they answer.
    void setContacts(std::vector<endpoint> contacts);
    /// Instances that the platform's list calls leaving: the worse of both counts.
    void setListedLeaving(std::vector<instance_id> leaving);
    /// What the next heartbeats say of this instance.
    void setApplied(std::uint64_t appliedVersion, mono_time confirmedAt);
    void setOpenStreams(std::uint32_t count);
    /// Marks this instance as leaving, for good, and tells peers at once.
    void setLeaving();
    /// Starts a rumor, or renews it.
    void spread(rumor news);

    /// @returns All members but the dead, sorted by id, this instance among them.
    std::vector<policy::member> members() const;
    std::vector<rumor> rumors() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
