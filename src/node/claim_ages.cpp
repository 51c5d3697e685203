#include "node/claim_ages.h"

namespace poplarspool::node {

void claim_ages::observe(const claim_segment &segment, mono_time now)
{
    std::erase_if(observations, [&](const auto &seen) { return !findClaim(segment, seen.first); });
    for (const auto &[name, claim] : segment.claims)
        add(name, claim.nonce, now);
}

void claim_ages::add(const std::string &name, const std::string &nonce, mono_time now)
{
    observation &seen = observations.try_emplace(name, observation{nonce, now}).first->second;
    // A different nonce is a new claim that superseded one whose attempt was never dispatched.
    if (seen.nonce != nonce)
        seen = {nonce, now};
}

std::vector<std::string> claim_ages::seenBefore(mono_time bound) const
{
    std::vector<std::string> names;
    for (const auto &[name, seen] : observations) {
        if (seen.firstSeen < bound)
            names.push_back(name);
    }
    return names;
}

void claim_ages::remove(const std::string &name)
{
    observations.erase(name);
}

void claim_ages::clear()
{
    observations.clear();
}

} // namespace poplarspool::node
