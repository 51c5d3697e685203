#include "poplarspool/peer/fleet.h"

#include "peer/frame.h"
#include "poplarspool/base/hash.h"

#include <algorithm>
#include <map>

namespace poplarspool::peer {

namespace {

struct ranked_instance
{
    std::uint64_t weight = 0;
    std::size_t index = 0;
};

fleet_instance instanceOf(const instance_id &id, const endpoint &peerAddress)
{
    return {id, senderNumber(id), hashOf(id.text), peerAddress, true};
}

} // namespace

fleet fleetOf(const std::vector<listed_instance> &listed,
              const std::vector<policy::member> &members, const listed_instance &self,
              std::set<instance_id> &seen)
{
    std::map<instance_id, fleet_instance> found;
    for (const listed_instance &one : listed) {
        fleet_instance &instance = found[one.id] = instanceOf(one.id, one.peerAddress);
        // Gossip no longer returns an instance that it knows to be dead.
        instance.isAlive = !seen.contains(one.id);
    }
    for (const policy::member &one : members) {
        const bool isAlive = one.state == policy::member_state::Alive
                || one.state == policy::member_state::Suspect;
        fleet_instance &instance = found[one.id] = instanceOf(one.id, one.peerAddress);
        instance.isAlive = isAlive;
        seen.insert(one.id);
    }
    if (!found.contains(self.id))
        found[self.id] = instanceOf(self.id, self.peerAddress);
    std::erase_if(seen, [&found](const instance_id &id) { return !found.contains(id); });
    fleet made;
    made.instances.reserve(found.size());
    for (auto &[id, instance] : found)
        made.instances.push_back(std::move(instance));
    return made;
}

std::vector<std::size_t> rankedInstances(const fleet &known, std::string_view key,
                                         std::size_t count)
{
    std::vector<ranked_instance> best;
    best.reserve(count + 1);
    for (std::size_t i = 0; i < known.instances.size(); ++i) {
        if (!known.instances[i].isAlive)
            continue;
        const std::uint64_t weight = hashOf(key, known.instances[i].weightSeed);
        if (best.size() == count && weight <= best.back().weight)
            continue;
        const auto place = std::ranges::upper_bound(best, weight, std::ranges::greater{},
                                                    &ranked_instance::weight);
        best.insert(place, {weight, i});
        if (best.size() > count)
            best.pop_back();
    }
    std::vector<std::size_t> indexes(best.size());
    std::ranges::transform(best, indexes.begin(), &ranked_instance::index);
    return indexes;
}

std::vector<endpoint> livingPeersOf(const fleet &known, std::uint64_t self)
{
    std::vector<endpoint> peers;
    for (const fleet_instance &one : known.instances) {
        if (one.number != self && one.isAlive && one.peerAddress.isValid())
            peers.push_back(one.peerAddress);
    }
    return peers;
}

fleet_view::fleet_view(listed_instance self) : self(std::move(self))
{
    rebuild();
}

void fleet_view::setListed(std::vector<listed_instance> instances)
{
    {
        const std::lock_guard lock(guard);
        listed = std::move(instances);
    }
    rebuild();
}

void fleet_view::setMembers(std::vector<policy::member> alive)
{
    {
        const std::lock_guard lock(guard);
        members = std::move(alive);
    }
    rebuild();
}

void fleet_view::rebuild()
{
    const std::lock_guard lock(guard);
    fleet next = fleetOf(listed, members, self, seen);
    value.update([&next](fleet &current) {
        if (current.instances == next.instances)
            return false;
        next.version = current.version + 1;
        current = next;
        return true;
    });
}

} // namespace poplarspool::peer
