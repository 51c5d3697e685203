#pragma once

#include "node/claim_segment.h"
#include "poplarspool/base/clock.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace poplarspool::node {

/// Since when this process itself has seen each claim of a bucket standing.
///
/// A claim that is dropped too early lets a receipt or an order run twice, and a wall clock that
/// jumps ahead, or that is ahead on the instance that takes the bucket over, would drop all of them
/// at once. So no wall clock decides: a claim is old only when this process has seen it for that
/// long on its own monotonic clock. That is enough, for it was written no later than it was first
/// seen. The price: after the bucket went to another instance, claims stay up to twice as long.
class claim_ages
{
public:
    /// Takes note of all that stands, and forgets what stands no more.
    void observe(const claim_segment &standing, mono_time now);
    void add(const std::string &name, const std::string &nonce, mono_time now);
    /// @returns Names of the claims that were first seen before `bound`.
    std::vector<std::string> seenBefore(mono_time bound) const;
    void forget(const std::string &name);
    void clear();

private:
    struct sighting
    {
        std::string nonce;
        mono_time firstSeen{};
    };
    std::unordered_map<std::string, sighting> sightings;
};

} // namespace poplarspool::node
