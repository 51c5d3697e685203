#pragma once

#include <compare>
#include <cstdint>

namespace poplarspool {

/// A state of the platform's store. The store may come back from an older copy of itself: revisions
/// go back then and are given out again, so that one alone names no state.
struct store_version
{
    std::uint64_t epoch = 0; ///< Rises each time that the store comes back from an older copy.
    std::uint64_t revision = 0; ///< Rises with each change within an epoch.

    // The check takes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const store_version &) const = default;
};

} // namespace poplarspool
