#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::standin {

/// A request's target, decoded.
struct request_target
{
    std::string path;
    std::map<std::string, std::string> query;

    bool operator==(const request_target &) const = default;
};

/// @param raw Percent-encoded path with its query. Malformed escapes stay as they are.
request_target parseTarget(std::string_view raw);

/// @returns What follows the prefix; none where the path doesn't start with it.
std::optional<std::string> pathAfter(const request_target &target, std::string_view prefix);

/// @returns The query's number; none where it is missing or no number.
std::optional<std::uint64_t> numberOf(const request_target &target, const std::string &name);

} // namespace poplarspool::standin
