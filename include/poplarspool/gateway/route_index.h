#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarspool::gateway {

/// Host names are compared case-insensitively.
struct host_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view host) const;
};

struct host_equal
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

/// An edge of the prefix tree: one path segment below a node.
struct path_step
{
    std::uint32_t from = 0; ///< Number of the parent node.
    std::string word; ///< The segment, without slashes.

    bool operator==(const path_step &) const = default;
};

/// Non-owning variant of path_segment, used for lookups.
struct path_step_view
{
    std::uint32_t from = 0;
    std::string_view word;
};

struct path_step_hash
{
    using is_transparent = void;
    std::size_t operator()(const path_step &step) const;
    std::size_t operator()(const path_step_view &step) const;
};

struct path_step_equal
{
    using is_transparent = void;
    bool operator()(const path_step &left, const path_step &right) const;
    bool operator()(const path_step_view &left, const path_step &right) const;
    bool operator()(const path_step &left, const path_step_view &right) const;
};

/// A node of the prefix tree.
struct path_node
{
    std::uint32_t number = 0;
    std::optional<std::uint32_t> route; ///< Index in the table of the first route with this prefix.

    bool operator==(const path_node &) const = default;
};

struct host_routes
{
    path_node root; ///< The path `/`.
    /// Indexes of routes whose prefix doesn't begin and end with a slash. Each lookup scans them
    /// all.
    std::vector<std::uint32_t> odd;

    bool operator==(const host_routes &) const = default;
};

/// Index of a route table, so that a lookup doesn't scan all routes. Immutable.
struct route_index
{
    std::unordered_map<std::string, host_routes, host_hash, host_equal> hosts;
    std::unordered_map<path_step, path_node, path_step_hash, path_step_equal> steps;
    /// Index of the first route with an invalid host or prefix.
    std::optional<std::uint32_t> unplaced;
    workspaces::key_index keys; ///< Maps each key to the index of its workspace.

    bool operator==(const route_index &) const = default;
};

route_index indexOf(const route_table &table);

/// @param index Index of `table`.
/// @param host With or without a port.
/// @param path With or without a query.
/// @returns The host's route with the longest matching prefix, the first one if several have the
/// same prefix. If none matches, the first route whose host or prefix is invalid; null if there is
/// none.
const route *findRoute(const route_table &table, const route_index &index, std::string_view host,
                       std::string_view path);

} // namespace poplarspool::gateway
