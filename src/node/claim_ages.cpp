#include "node/claim_ages.h"

namespace poplarspool::node {

void claim_ages::observe(const claim_segment &standing, mono_time now)
{
    std::erase_if(sightings, [&](const auto &seen) { return !findClaim(standing, seen.first); });
    for (const auto &[name, claim] : standing.claims)
        add(name, claim.nonce, now);
}

void claim_ages::add(const std::string &name, const std::string &nonce, mono_time now)
{
    sighting &seen = sightings.try_emplace(name, sighting{nonce, now}).first->second;
    // Another nonce is another claim, that took the place of one that was never dispatched.
    if (seen.nonce != nonce)
        seen = {nonce, now};
}

std::vector<std::string> claim_ages::seenBefore(mono_time bound) const
{
    std::vector<std::string> names;
    for (const auto &[name, seen] : sightings) {
        if (seen.firstSeen < bound)
            names.push_back(name);
    }
    return names;
}

void claim_ages::forget(const std::string &name)
{
    sightings.erase(name);
}

void claim_ages::clear()
{
    sightings.clear();
}

} // namespace poplarspool::node
