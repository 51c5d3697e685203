#pragma once

#include "poplarspool/base/hash.h"
#include "poplarspool/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Workspaces of customers, and the keys that identify their callers. Plain immutable values; only
/// the digest of a key is stored, never the key itself.
namespace poplarspool::workspaces {

/// Digest of a key. The hash is cryptographic, so that another key with the same digest can't be
/// found and the duration of a lookup reveals nothing about a key.
using key_digest = digest_128;

struct workspace
{
    workspace_id id;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> rank; ///< Priority; 0 is served first. None: rank of the route.

    bool operator==(const workspace &) const = default;
};

struct key_digest_hash
{
    std::size_t operator()(const key_digest &digest) const
    {
        return static_cast<std::size_t>(digest.low);
    }
};

/// Maps a key to the index of its workspace. Built once from all workspaces and never modified.
using key_index = std::unordered_map<key_digest, std::uint32_t, key_digest_hash>;

/// If several workspaces have the same key, it belongs to the first one.
key_index indexOf(const std::vector<workspace> &all);

/// @param scheme Such as "Bearer"; compared case-insensitively.
/// @param value Value of the header that contains the key: scheme, spaces, key.
/// @returns None if the value has another scheme or no key, or if the key is too long.
std::optional<key_digest> readKey(std::string_view scheme, std::string_view value);

} // namespace poplarspool::workspaces
