#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace poplarspool {

/// A name with a type of its own for each kind of object. The empty name is invalid.
template <class Tag>
struct name_of
{
    std::string text;

    bool isValid() const { return !text.empty(); }
    auto operator<=>(const name_of &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

using instance_id = name_of<struct instance_tag>; ///< One instance: a process of the product.
using runner_id = name_of<struct runner_tag>; ///< One target: an engine or a plain service.
using pool_id = name_of<struct pool_tag>; ///< Interchangeable runners.
using zone_id = name_of<struct zone_tag>; ///< Availability zone.
using workspace_id = name_of<struct workspace_tag>; ///< A customer.
using caller_id = name_of<struct caller_tag>; ///< A client that sends requests.
using request_id = name_of<struct request_tag>; ///< One request; unique across all instances.

/// Index of a runner in one inventory; not valid for any other inventory.
struct runner_handle
{
    static constexpr std::uint32_t invalid = UINT32_MAX;
    std::uint32_t index = invalid;

    bool isValid() const { return index != invalid; }
    auto operator<=>(const runner_handle &) const = default;
};

/// Incarnation number of a process: increases with each start. 0 means none.
using incarnation_number = std::uint64_t;

} // namespace poplarspool

template <class Tag>
struct std::hash<poplarspool::name_of<Tag>>
{
    std::size_t operator()(const poplarspool::name_of<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text);
    }
};
