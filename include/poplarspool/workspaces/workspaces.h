#pragma once

#include "poplarspool/base/hash.h"
#include "poplarspool/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Customers, and the keys by which their callers are known. Plain immutable values; a key itself
/// is never kept, only its digest.
namespace poplarspool::workspaces {

/// What stands for a key. Of a cryptographic hash: nobody can make another key with the same one,
/// and how long a lookup takes says nothing of any key.
using key_digest = digest_128;

struct workspace
{
    workspace_id id;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> rank; ///< Of its requests; none: each route's own. 0 goes first.

    bool operator==(const workspace &) const = default;
};

struct key_digest_hash
{
    std::size_t operator()(const key_digest &digest) const
    {
        return static_cast<std::size_t>(digest.low);
    }
};

/// Place of the workspace that holds a key; made once of all workspaces, never changed.
using key_index = std::unordered_map<key_digest, std::uint32_t, key_digest_hash>;

/// Of several workspaces with one key, the first holds it.
key_index indexOf(const std::vector<workspace> &all);

/// @param scheme Such as "Bearer"; its letters may be of either case.
/// @param value Of the header that carries a key: the scheme, blanks, the key.
/// @returns None where that is no key of that scheme, or one too long to be any.
std::optional<key_digest> readKey(std::string_view scheme, std::string_view value);

} // namespace poplarspool::workspaces
