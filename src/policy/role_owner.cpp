#include "poplarspool/policy/role_owner.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarspool::policy {

const member *ownerOf(std::span<const member> members, std::string_view key, const zone_id &zone)
{
    const auto isAlive = [](const member &other) { return other.state == member_state::Alive; };
    const auto isInZone = [&](const member &other) {
        return zone.isValid() && isAlive(other) && other.zone == zone;
    };
    const bool hasMemberInZone = std::ranges::any_of(members, isInZone);
    const member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const member &other : members) {
        if (hasMemberInZone ? !isInZone(other) : !isAlive(other))
            continue;
        const std::uint64_t weight = rendezvousWeight(other.id.text, key);
        if (!best || weight > bestWeight) {
            best = &other;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<const member *> ownersOf(std::span<const member> members, std::string_view key,
                                     std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const member *>> weighed;
    for (const member &one : members) {
        if (one.state == member_state::Alive)
            weighed.emplace_back(rendezvousWeight(one.id.text, key), &one);
    }
    const auto end = weighed.begin() + static_cast<std::ptrdiff_t>(std::min(count, weighed.size()));
    std::partial_sort(weighed.begin(), end, weighed.end(), std::greater<>());
    std::vector<const member *> owners;
    for (auto one = weighed.begin(); one != end; ++one)
        owners.push_back(one->second);
    return owners;
}

} // namespace poplarspool::policy
