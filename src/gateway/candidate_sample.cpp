#include "gateway/candidate_sample.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <functional>
#include <utility>

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

/// All runners of a small group, ordered by rendezvous hashing, which spreads the keys evenly over
/// a few runners as well.
std::vector<runner_entry> rankedWhole(const runner_ring &group, std::uint64_t key)
{
    std::vector<std::pair<std::uint64_t, runner_entry>> ranked;
    ranked.reserve(group.size());
    group.forEach(
            [&](const runner_entry &one) { ranked.emplace_back(hashOf(one->id.text, key), one); });
    std::ranges::sort(ranked, std::ranges::greater{}, [](const auto &one) { return one.first; });
    std::vector<runner_entry> preferred;
    preferred.reserve(ranked.size());
    for (auto &one : ranked)
        preferred.push_back(std::move(one.second));
    return preferred;
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
    if (group.size() <= config::sampledRunners)
        return rankedWhole(group, key);
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
