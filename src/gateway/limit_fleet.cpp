#include "gateway/limit_fleet.h"

#include "peer/frame.h"
#include "poplarspool/base/hash.h"

#include <map>

namespace poplarspool::gateway {

namespace {

constexpr std::uint16_t limitPortOffset = 3;

std::uint64_t weightOf(const limit_instance &instance, std::uint32_t runner)
{
    return hashOf({reinterpret_cast<const char *>(&runner), sizeof(runner)}, instance.weightSeed);
}

limit_instance instanceOf(const instance_id &id, const endpoint &peerAddress)
{
    return {peer::senderNumber(id), hashOf(id.text), limitAddressOf(peerAddress), true};
}

} // namespace

issuer_pair issuersOf(const limit_fleet &fleet, std::uint32_t runner)
{
    issuer_pair pair;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        if (!fleet.instances[i].isAlive)
            continue;
        const std::uint64_t weight = weightOf(fleet.instances[i], runner);
        if (pair.first == issuer_pair::none || weight > firstWeight) {
            pair.second = std::exchange(pair.first, i);
            secondWeight = std::exchange(firstWeight, weight);
        } else if (pair.second == issuer_pair::none || weight > secondWeight) {
            pair.second = i;
            secondWeight = weight;
        }
    }
    return pair;
}

limit_fleet fleetOf(const std::vector<listed_gateway> &listed,
                    const std::vector<policy::member> &members, const listed_gateway &self,
                    std::set<instance_id> &seen)
{
    std::map<instance_id, limit_instance> found;
    for (const listed_gateway &one : listed) {
        limit_instance &instance = found[one.id] = instanceOf(one.id, one.peerAddress);
        // Gossip no longer returns an instance that it knows to be dead.
        instance.isAlive = !seen.contains(one.id);
    }
    for (const policy::member &one : members) {
        const bool isAlive = one.state == policy::member_state::Alive
                || one.state == policy::member_state::Suspect;
        limit_instance &instance = found[one.id] = instanceOf(one.id, one.peerAddress);
        instance.isAlive = isAlive;
        seen.insert(one.id);
    }
    if (!found.contains(self.id))
        found[self.id] = instanceOf(self.id, self.peerAddress);
    std::erase_if(seen, [&found](const instance_id &id) { return !found.contains(id); });
    limit_fleet fleet;
    fleet.instances.reserve(found.size());
    for (auto &[id, instance] : found)
        fleet.instances.push_back(instance);
    return fleet;
}

endpoint limitAddressOf(const endpoint &peerAddress)
{
    endpoint address = peerAddress;
    if (address.isValid())
        address.port = static_cast<std::uint16_t>(address.port + limitPortOffset);
    return address;
}

} // namespace poplarspool::gateway
