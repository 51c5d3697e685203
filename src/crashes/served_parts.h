#pragma once

#include "poplarspool/crashes/limits.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace poplarspool::crashes {

/// Remembers the parts of prompts with which requests were served completely. Lock-free; a newer
/// part replaces an older one with the same slot.
class served_parts
{
public:
    void record(std::uint64_t key) { slotOf(key).store(key, std::memory_order_relaxed); }
    bool contains(std::uint64_t key) const
    {
        return slots[key % slots.size()].load(std::memory_order_relaxed) == key;
    }

private:
    std::atomic<std::uint64_t> &slotOf(std::uint64_t key) { return slots[key % slots.size()]; }

    std::array<std::atomic<std::uint64_t>, config::maxServedParts> slots{};
};

} // namespace poplarspool::crashes
