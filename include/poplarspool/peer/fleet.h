#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/published.h"
#include "poplarspool/policy/view.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string_view>
#include <vector>

/// The instances among which a duty is divided by a key. All choose the same instances for a key,
/// as far as they know the same fleet: the store's list, which all read alike, less those that
/// gossip knows to be gone. Gossip alone would not do: in a fleet of a thousand it needs minutes to
/// spread all records, and until then each instance would choose others.
namespace poplarspool::peer {

/// An instance in the store's list.
struct listed_instance
{
    instance_id id;
    endpoint peerAddress;

    bool operator==(const listed_instance &) const = default;
};

struct fleet_instance
{
    instance_id id;
    std::uint64_t number = 0; ///< Of the instance in datagrams.
    std::uint64_t weightSeed = 0; ///< Hash of its id.
    endpoint peerAddress;
    bool isAlive = true; ///< Not known to be dead or leaving.

    bool operator==(const fleet_instance &) const = default;
};

struct fleet
{
    std::vector<fleet_instance> instances; ///< Includes this one.
    std::uint64_t version = 0; ///< Increases with each change.

    bool operator==(const fleet &) const = default;
};

/// @param seen Instances that gossip has known to be alive. Updated.
/// @param self Always part of the result.
fleet fleetOf(const std::vector<listed_instance> &listed,
              const std::vector<policy::member> &members, const listed_instance &self,
              std::set<instance_id> &seen);

/// @returns The living instances that come first for the key in rendezvous hashing, by their index
///          in the fleet; fewer than `count` if there are no more.
std::vector<std::size_t> rankedInstances(const fleet &known, std::string_view key,
                                         std::size_t count);

/// @param self Number of this instance.
/// @returns The other instances' addresses for gossip, without those known to be dead or leaving.
std::vector<endpoint> livingPeersOf(const fleet &known, std::uint64_t self);

/// Keeps the fleet up to date. Thread-safe.
class fleet_view
{
public:
    explicit fleet_view(listed_instance self);

    std::shared_ptr<const fleet> current() const { return value.current(); }
    void setListed(std::vector<listed_instance> instances);
    void setMembers(std::vector<policy::member> alive);

private:
    void rebuild();

    const listed_instance self;
    published<fleet> value{fleet{}};
    std::mutex guard;
    std::vector<listed_instance> listed;
    std::vector<policy::member> members;
    std::set<instance_id> seen;
};

} // namespace poplarspool::peer
