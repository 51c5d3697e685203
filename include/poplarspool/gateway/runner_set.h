#pragma once

#include "poplarspool/gateway/runner.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

/// The runners of a fleet, as a value. Lookups and changes take the same time in fleets of ten and
/// of ten thousand runners, apart from a binary search.
namespace poplarspool::gateway {

using runner_entry = std::shared_ptr<const runner>;

/// Runners on a ring: ordered by the hash of their ids. Copies share their segments with the
/// original, and a change copies one segment.
class runner_ring
{
public:
    /// @returns Position of the runner on the ring. Its upper half is the runner's key in load
    /// updates.
    static std::uint64_t positionOf(const runner_id &id);

    std::size_t size() const { return firstRanks.back(); }
    bool isEmpty() const { return size() == 0; }
    /// @returns Null if there is no such runner.
    runner_entry find(const runner_id &id) const;
    /// Adds the entry, or replaces that of the same runner.
    void put(runner_entry entry);
    /// @returns Whether the runner was there.
    bool erase(const runner_id &id);
    /// @param rank Less than size().
    const runner_entry &atRank(std::size_t rank) const;
    /// @returns Rank of the first runner at or after that position; size() if there is none.
    std::size_t rankFrom(std::uint64_t position) const;

    template <class Visitor>
    void forEach(const Visitor &visit) const
    {
        for (const auto &part : segments) {
            if (!part)
                continue;
            for (const placed_runner &one : *part)
                visit(one.entry);
        }
    }

private:
    struct placed_runner
    {
        std::uint64_t position = 0;
        runner_entry entry;
    };

    /// Runners of one part of the ring, in ascending order of their positions.
    using segment = std::vector<placed_runner>;

    static constexpr unsigned segmentBits = 8;
    static constexpr std::size_t segmentCount = std::size_t{1} << segmentBits;

    static std::size_t segmentAt(std::uint64_t position) { return position >> (64 - segmentBits); }
    static segment::const_iterator findIn(const segment &part, std::uint64_t position,
                                          const runner_id &id);
    void replaceSegment(std::size_t index, segment next);

    /// Null for an empty segment.
    std::array<std::shared_ptr<const segment>, segmentCount> segments;
    /// Number of runners in all segments before each one, and at the end in all.
    std::array<std::uint32_t, segmentCount + 1> firstRanks{};
};

/// All listed runners, and those that may get requests by service and stage.
class runner_set
{
public:
    std::size_t size() const { return all.size(); }
    bool isEmpty() const { return all.isEmpty(); }
    /// @returns Null if there is no such runner.
    runner_entry find(const runner_id &id) const { return all.find(id); }
    /// Finds a runner by its key in load updates. Of two runners with the same key, which are one
    /// pair in a hundred fleets of 10,000 runners, it finds one.
    /// @returns Null if there is no such runner.
    runner_entry findByKey(std::uint32_t key) const;
    /// Adds the entry, or replaces that of the same runner.
    void put(const runner_entry &entry);
    void erase(const runner_id &id);

    /// @returns The runners of the service in that stage that are not draining.
    const runner_ring &groupOf(const service_id &service, engine_stage stage) const;
    /// @returns Of these, the runners of that software version.
    const runner_ring &groupOf(const service_id &service, engine_stage stage,
                               version_key version) const;
    /// @returns The versions of the service's runners that are not draining.
    std::set<version_key> versionsOf(const service_id &service) const;
    /// Calls `visit(service)` for each service that has had a runner.
    template <class Visitor>
    void forEachService(const Visitor &visit) const
    {
        for (auto group = groups.begin(); group != groups.end();) {
            const service_id &service = group->first.first;
            visit(service);
            while (group != groups.end() && group->first.first == service)
                ++group;
        }
    }
    /// Number of runners that are not draining.
    std::size_t servingCount() const;

    template <class Visitor>
    void forEach(const Visitor &visit) const
    {
        all.forEach(visit);
    }

private:
    using group_key = std::pair<service_id, engine_stage>;

    /// Runners of one service and stage.
    struct runner_group
    {
        runner_ring whole;
        std::map<version_key, runner_ring> byVersion; ///< None of them is empty.
    };

    void eraseFromGroup(const runner &entry);

    runner_ring all;
    std::map<group_key, runner_group> groups;
};

} // namespace poplarspool::gateway
