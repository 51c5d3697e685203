#include "gateway/candidate_sample.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

/// The first runner after one of a key's points on the ring.
struct ring_probe
{
    std::uint64_t distance = 0;
    const runner_entry *entry = nullptr;
};

ring_probe probeAt(const runner_ring &group, std::uint64_t point)
{
    const std::size_t rank = group.rankFrom(point);
    const runner_entry &entry = group.atRank(rank < group.size() ? rank : 0);
    return {runner_ring::positionOf(entry->id) - point, &entry};
}

std::uint64_t pointOf(std::uint64_t key, std::uint64_t probe)
{
    return hashOf({reinterpret_cast<const char *>(&key), sizeof(key)}, probe);
}

} // namespace

std::vector<runner_entry> sampleOf(const runner_ring &group, std::uint64_t draw)
{
    const std::size_t count = std::min(group.size(), config::sampledRunners);
    std::vector<runner_entry> sampled;
    sampled.reserve(count);
    const std::size_t start = group.isEmpty() ? 0 : draw % group.size();
    for (std::size_t i = 0; i < count; ++i)
        sampled.push_back(group.atRank((start + i * group.size() / count) % group.size()));
    return sampled;
}

/// The nearest of several probes, instead of one: the distances between runners on the ring differ,
/// and with one probe a runner after a long distance would be preferred for several times as many
/// keys as others.
std::vector<runner_entry> preferredOf(const runner_ring &group, std::uint64_t key)
{
    if (key == 0 || group.isEmpty())
        return {};
    std::array<ring_probe, config::affinityProbes> probes;
    for (std::size_t i = 0; i < probes.size(); ++i)
        probes[i] = probeAt(group, pointOf(key, i));
    std::ranges::sort(probes, {}, &ring_probe::distance);
    std::vector<runner_entry> preferred;
    for (const ring_probe &one : probes) {
        if (preferred.size() == config::preferredRunners)
            break;
        if (std::ranges::find(preferred, *one.entry) == preferred.end())
            preferred.push_back(*one.entry);
    }
    return preferred;
}

} // namespace poplarspool::gateway
