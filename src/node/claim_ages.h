#pragma once

#include "node/claim_segment.h"
#include "poplarspool/base/clock.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace poplarspool::node {

/// For how long this process has observed each claim of a bucket in the store.
///
/// A claim that is dropped too early lets its request, such as a receipt or an order, run twice.
/// Expiry by wall clock would drop all claims at once if the clock jumped ahead, or were ahead on
/// the instance that takes over the bucket. So a claim expires only after this process has observed
/// it for the retention period on its own monotonic clock; the claim was written no later than its
/// first observation. The cost: after a bucket moved to another instance, its claims are kept for
/// up to twice the retention period.
class claim_ages
{
public:
    /// Records all claims of the segment, and removes those that are no longer in it.
    void observe(const claim_segment &segment, mono_time now);
    void add(const std::string &name, const std::string &nonce, mono_time now);
    /// @returns Names of the claims first observed before `bound`.
    std::vector<std::string> seenBefore(mono_time bound) const;
    void remove(const std::string &name);
    void clear();

private:
    struct observation
    {
        std::string nonce;
        mono_time firstSeen{};
    };
    std::unordered_map<std::string, observation> observations;
};

} // namespace poplarspool::node
