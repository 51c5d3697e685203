#include "poplarspool/policy/role_owner.h"

#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::policy {

const member *ownerOf(std::span<const member> members, std::string_view key, const zone_id &zone)
{
    const auto isAlive = [](const member &other) { return other.state == member_state::Alive; };
    const auto isNear = [&](const member &other) {
        return zone.isValid() && isAlive(other) && other.zone == zone;
    };
    const bool hasNear = std::ranges::any_of(members, isNear);
    const member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const member &other : members) {
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

} // namespace poplarspool::policy
