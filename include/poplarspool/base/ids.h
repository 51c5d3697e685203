#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace poplarspool {

/// A name that can't be mixed up with a name of another kind. The empty name is the invalid one.
template <class Tag>
struct name_of
{
    std::string text;

    bool isValid() const { return !text.empty(); }
    auto operator<=>(const name_of &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

using instance_id = name_of<struct instance_tag>; ///< One machine's process of ours.
using runner_id = name_of<struct runner_tag>; ///< One target: an engine or a plain service.
using pool_id = name_of<struct pool_tag>; ///< Runners that serve the same purpose.
using zone_id = name_of<struct zone_tag>; ///< Availability zone.
using workspace_id = name_of<struct workspace_tag>; ///< Customer.
using caller_id = name_of<struct caller_tag>; ///< Who sends requests.
using request_id = name_of<struct request_tag>; ///< One request, unique over all instances.

/// Place of a runner in one inventory; meaningless in another.
struct runner_handle
{
    static constexpr std::uint32_t invalid = UINT32_MAX;
    std::uint32_t index = invalid;

    bool isValid() const { return index != invalid; }
    auto operator<=>(const runner_handle &) const = default;
};

/// Number of one life of a process: grows with every start. 0 is no life.
using incarnation = std::uint64_t;

} // namespace poplarspool

template <class Tag>
struct std::hash<poplarspool::name_of<Tag>>
{
    std::size_t operator()(const poplarspool::name_of<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text);
    }
};
