#pragma once

#include "poplarspool/gateway/suspects.h"
#include "poplarspool/peer/gossip.h"

#include <vector>

/// Rumors by which instances tell each other under which requests runners end.
namespace poplarspool::gateway {

/// A runner's life has ended while these requests ran there, as one instance saw it.
struct end_report
{
    ended_life life;
    std::vector<std::uint64_t> digests;
};

/// @returns As many rumors as it takes.
std::vector<peer::rumor> rumorsOf(const instance_id &self, const end_report &report);
/// The request was served whole.
peer::rumor servedRumor(std::uint64_t digest, std::int64_t servedMs);

/// @returns What the rumor says; nothing where it is of another kind, Broken where it is malformed.
result<std::vector<suspect>> suspectsIn(const peer::rumor &news);

} // namespace poplarspool::gateway
