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
struct path_segment
{
    std::uint32_t parent = 0; ///< Number of the parent node.
    std::string text; ///< The segment, without slashes.

    bool operator==(const path_segment &) const = default;
};

/// Non-owning variant of path_segment, used for lookups.
struct path_segment_view
{
    std::uint32_t parent = 0;
    std::string_view text;
};

struct path_segment_hash
{
    using is_transparent = void;
    std::size_t operator()(const path_segment &segment) const;
    std::size_t operator()(const path_segment_view &segment) const;
};

struct path_segment_equal
{
    using is_transparent = void;
    bool operator()(const path_segment &left, const path_segment &right) const;
    bool operator()(const path_segment_view &left, const path_segment &right) const;
    bool operator()(const path_segment &left, const path_segment_view &right) const;
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
    std::vector<std::uint32_t> unalignedRoutes;

    bool operator==(const host_routes &) const = default;
};

/// Index of a route table, so that a lookup doesn't scan all routes. Immutable.
struct route_index
{
    std::unordered_map<std::string, host_routes, host_hash, host_equal> hosts;
    std::unordered_map<path_segment, path_node, path_segment_hash, path_segment_equal> segments;
    /// Index of the first route with an invalid host or prefix.
    std::optional<std::uint32_t> firstInvalidRoute;
    workspaces::key_index keys; ///< Maps each key to the index of its workspace.
    /// Whether ranks of workspaces tell any two of them apart.
    bool doWorkspaceRanksDiffer = false;

    bool operator==(const route_index &) const = default;
};

route_index buildRouteIndex(const route_table &table);

/// @param index Index of `table`.
/// @param host With or without a port.
/// @param path With or without a query.
/// @returns The host's route with the longest matching prefix, the first one if several have the
/// same prefix. If none matches, the first route whose host or prefix is invalid; null if there is
/// none.
const route *findRoute(const route_table &table, const route_index &index, std::string_view host,
                       std::string_view path);

} // namespace poplarspool::gateway
