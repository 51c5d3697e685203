#pragma once

#include "poplarspool/peer/store_update.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace poplarspool::peer {

/// Joins the parts of updates that were too long for one datagram, and keeps updates that arrive
/// before those that they continue.
///
/// @attention Not thread-safe.
class update_assembler
{
public:
    /// @param sender Number of the relay.
    /// @returns The whole update with its last missing part; nullopt before.
    std::optional<kind_update> add(std::uint64_t sender, const kind_update &received,
                                   mono_time now);
    /// Keeps a whole update for takeNext().
    void keep(kind_update update, mono_time now);
    /// @returns An update that was kept and continues `known`, which it removes.
    std::optional<kind_update> takeNext(std::uint32_t kind, store_version known, mono_time now);

private:
    using update_key = std::tuple<std::uint64_t, std::uint32_t, std::uint64_t, store_version>;

    struct pending_update
    {
        mono_time startedAt{};
        std::size_t missing = 0;
        std::vector<std::optional<std::vector<std::string>>> parts;
    };

    struct early_update
    {
        kind_update update;
        mono_time keptAt{};
    };

    std::map<update_key, pending_update> pending; ///< By sender, kind, `since` and version.
    std::vector<early_update> early;
};

} // namespace poplarspool::peer
