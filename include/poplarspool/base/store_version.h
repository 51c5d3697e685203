#pragma once

#include <compare>
#include <cstdint>

namespace poplarspool {

/// Version of the platform's store. After a store rollback, revisions start again from an older
/// value and are reused, so a revision alone doesn't identify a state.
struct store_version
{
    std::uint64_t epoch = 0; ///< Increases with each store rollback.
    std::uint64_t revision = 0; ///< Increases with each change within an epoch.

    // clang-tidy mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const store_version &) const = default;
};

} // namespace poplarspool
