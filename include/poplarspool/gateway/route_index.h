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

/// Hosts are the same whatever the case of their letters.
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

/// From one slash of a path to the next.
struct path_step
{
    std::uint32_t from = 0; ///< Number of the node that the step leaves.
    std::string word; ///< Between the two slashes.

    bool operator==(const path_step &) const = default;
};

/// A step of a request's path, that is only looked up.
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

/// Where a prefix ends, or a longer one goes on.
struct path_node
{
    std::uint32_t number = 0;
    std::optional<std::uint32_t> route; ///< Place in the table of the first with this prefix.

    bool operator==(const path_node &) const = default;
};

struct host_routes
{
    path_node root; ///< The first slash.
    /// Places of routes whose prefix doesn't begin and end with a slash. Each lookup passes all.
    std::vector<std::uint32_t> odd;

    bool operator==(const host_routes &) const = default;
};

/// Finds the route of a request without a walk over all; made once of a table, never changed.
struct route_index
{
    std::unordered_map<std::string, host_routes, host_hash, host_equal> hosts;
    std::unordered_map<path_step, path_node, path_step_hash, path_step_equal> steps;
    std::optional<std::uint32_t> unplaced; ///< Place of the first route that has none.
    workspaces::key_index keys; ///< Place of the workspace that holds each.

    bool operator==(const route_index &) const = default;
};

route_index indexOf(const route_table &table);

/// @param index Of the table.
/// @param host With or without a port.
/// @param path With or without a query.
/// @returns The host's route with the longest prefix that begins the path, of several the first;
/// where there is none, one that can't be placed; null where there is none either.
const route *findRoute(const route_table &table, const route_index &index, std::string_view host,
                       std::string_view path);

} // namespace poplarspool::gateway
