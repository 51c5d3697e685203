#include "node/role_owner.h"

#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::node {

const policy::member *ownerOf(const policy::view &now, std::string_view key, const zone_id &zone)
{
    const auto isAlive = [](const policy::member &other) {
        return other.state == policy::member_state::Alive;
    };
    const auto isNear = [&](const policy::member &other) {
        return zone.isValid() && isAlive(other) && other.zone == zone;
    };
    const bool hasNear = std::any_of(now.members.begin(), now.members.end(), isNear);
    const policy::member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const policy::member &other : now.members) {
        if (hasNear ? !isNear(other) : !isAlive(other))
            continue;
        const std::uint64_t weight = rendezvousWeight(other.id.text, key);
        if (!best || weight > bestWeight) {
            best = &other;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace poplarspool::node
