#include "poplarspool/gateway/runner_set.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace poplarspool::gateway {

namespace {

constexpr int keyBits = 32;

} // namespace

std::uint64_t runner_ring::positionOf(const runner_id &id)
{
    return std::rotl(hashOf(id.text), keyBits);
}

/// @returns The first runner that is not before the position, or at it not before the id.
runner_ring::segment::const_iterator
runner_ring::findIn(const segment &part, std::uint64_t position, const runner_id &id)
{
    return std::ranges::lower_bound(
            part, std::tie(position, id.text), {},
            [](const placed_runner &one) { return std::tie(one.position, one.entry->id.text); });
}

runner_entry runner_ring::find(const runner_id &id) const
{
    const std::uint64_t position = positionOf(id);
    const auto &part = segments[segmentAt(position)];
    if (!part)
        return nullptr;
    const auto found = findIn(*part, position, id);
    return found != part->end() && found->entry->id == id ? found->entry : nullptr;
}

void runner_ring::replaceSegment(std::size_t index, segment next)
{
    const std::size_t before = segments[index] ? segments[index]->size() : 0;
    const auto added = static_cast<std::uint32_t>(next.size() - before);
    segments[index] = next.empty() ? nullptr : std::make_shared<const segment>(std::move(next));
    if (added == 0)
        return;
    for (std::size_t i = index + 1; i <= segmentCount; ++i)
        firstRanks[i] += added;
}

void runner_ring::put(runner_entry entry)
{
    const std::uint64_t position = positionOf(entry->id);
    const std::size_t index = segmentAt(position);
    segment next = segments[index] ? *segments[index] : segment();
    const auto found = next.begin() + (findIn(next, position, entry->id) - next.cbegin());
    if (found != next.end() && found->entry->id == entry->id)
        found->entry = std::move(entry);
    else
        next.insert(found, {position, std::move(entry)});
    replaceSegment(index, std::move(next));
}

bool runner_ring::erase(const runner_id &id)
{
    const std::uint64_t position = positionOf(id);
    const std::size_t index = segmentAt(position);
    if (!segments[index])
        return false;
    const auto found = findIn(*segments[index], position, id);
    if (found == segments[index]->end() || found->entry->id != id)
        return false;
    segment next = *segments[index];
    next.erase(next.begin() + (found - segments[index]->begin()));
    replaceSegment(index, std::move(next));
    return true;
}

const runner_entry &runner_ring::atRank(std::size_t rank) const
{
    const auto after = std::ranges::upper_bound(firstRanks, rank);
    const auto index = static_cast<std::size_t>(after - firstRanks.begin()) - 1;
    return (*segments[index])[rank - firstRanks[index]].entry;
}

std::size_t runner_ring::rankFrom(std::uint64_t position) const
{
    const std::size_t index = segmentAt(position);
    const auto &part = segments[index];
    if (!part)
        return firstRanks[index];
    const auto found = std::ranges::lower_bound(*part, position, {}, &placed_runner::position);
    return firstRanks[index] + static_cast<std::size_t>(found - part->begin());
}

runner_entry runner_set::findByKey(std::uint32_t key) const
{
    const std::size_t rank = all.rankFrom(std::uint64_t{key} << keyBits);
    if (rank == all.size())
        return nullptr;
    const runner_entry &found = all.atRank(rank);
    return runner_ring::positionOf(found->id) >> keyBits == key ? found : nullptr;
}

void runner_set::eraseFromGroup(const runner &entry)
{
    runner_group &group = groups[{entry.service, entry.stage}];
    group.whole.erase(entry.id);
    const auto ofVersion = group.byVersion.find(versionKeyOf(entry.version));
    if (ofVersion == group.byVersion.end())
        return;
    ofVersion->second.erase(entry.id);
    if (ofVersion->second.isEmpty())
        group.byVersion.erase(ofVersion);
}

void runner_set::put(const runner_entry &entry)
{
    const runner_entry before = all.find(entry->id);
    const bool leavesGroup = before && !before->isDraining
            && (entry->isDraining || before->service != entry->service
                || before->stage != entry->stage || before->version != entry->version);
    if (leavesGroup)
        eraseFromGroup(*before);
    if (!entry->isDraining) {
        runner_group &group = groups[{entry->service, entry->stage}];
        group.whole.put(entry);
        group.byVersion[versionKeyOf(entry->version)].put(entry);
    }
    all.put(entry);
}

void runner_set::erase(const runner_id &id)
{
    const runner_entry before = all.find(id);
    if (!before)
        return;
    if (!before->isDraining)
        eraseFromGroup(*before);
    all.erase(id);
}

const runner_ring &runner_set::groupOf(const service_id &service, engine_stage stage) const
{
    static const runner_ring none;
    const auto found = groups.find({service, stage});
    return found == groups.end() ? none : found->second.whole;
}

const runner_ring &runner_set::groupOf(const service_id &service, engine_stage stage,
                                       version_key version) const
{
    static const runner_ring none;
    const auto group = groups.find({service, stage});
    if (group == groups.end())
        return none;
    const auto found = group->second.byVersion.find(version);
    return found == group->second.byVersion.end() ? none : found->second;
}

std::set<version_key> runner_set::versionsOf(const service_id &service) const
{
    std::set<version_key> versions;
    for (auto group = groups.lower_bound({service, engine_stage::None});
         group != groups.end() && group->first.first == service; ++group) {
        for (const auto &ofVersion : group->second.byVersion)
            versions.insert(ofVersion.first);
    }
    return versions;
}

std::size_t runner_set::servingCount() const
{
    std::size_t count = 0;
    for (const auto &group : groups)
        count += group.second.whole.size();
    return count;
}

} // namespace poplarspool::gateway
