#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace poplarspool::gateway {

/// Finds the runners that have recently cached a prompt part, without a look at all runners. Keeps
/// a bounded number of parts and of runners for each; the ones not added for longest are dropped.
class cache_holders
{
public:
    /// @param part Low half of the hash of the prompt up to and including the part.
    /// @param runner Key of the runner in load updates.
    void add(std::uint32_t part, std::uint32_t runner);
    /// @returns Keys of runners that were sent the part; they may have evicted it since.
    std::span<const std::uint32_t> holdersOf(std::uint32_t part) const;

private:
    struct holder_list
    {
        static constexpr std::size_t maxHolders = 16;

        std::array<std::uint32_t, maxHolders> runners{};
        std::uint32_t count = 0;
        std::uint32_t oldest = 0; ///< Replaced next if the list is full.

        void add(std::uint32_t runner);
    };
    using part_map = std::unordered_map<std::uint32_t, holder_list>;

    /// Parts added since `recent` was last full, and the parts before these.
    part_map recent;
    part_map earlier;
};

} // namespace poplarspool::gateway
