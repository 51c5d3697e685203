#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/peer/gossip.h"

#include <map>
#include <mutex>
#include <optional>

namespace poplarspool::gateway {

/// What one instance announces about its own links.
struct cut_off_announcement
{
    instance_id instance;
    bool isCutOff = false;

    bool operator==(const cut_off_announcement &) const = default;
};

/// @param version Increases with each announcement of the instance.
peer::rumor rumorOf(const cut_off_announcement &announced, std::uint64_t version);
/// @returns None if the rumor is of another kind or malformed.
std::optional<cut_off_announcement> cutOffAnnouncementOf(const peer::rumor &rumor);

/// The instances that have announced that they reach no runner. Thread-safe.
class cut_off_instances
{
public:
    explicit cut_off_instances(clock_source clock) : clock(std::move(clock)) { }

    void record(const cut_off_announcement &announced);
    bool contains(const instance_id &instance) const;
    /// @returns The members that are not cut off.
    std::vector<policy::member> without(std::vector<policy::member> members) const;

private:
    const clock_source clock;
    mutable std::mutex guard;
    std::map<instance_id, mono_time> expiries;
};

} // namespace poplarspool::gateway
