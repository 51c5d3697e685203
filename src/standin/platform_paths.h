#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::standin {

/// A request target (path and query), percent-decoded.
struct request_target
{
    std::string path;
    std::map<std::string, std::string> query;

    bool operator==(const request_target &) const = default;
};

/// @param raw Percent-encoded path and query. Malformed escapes are left unchanged.
request_target parseTarget(std::string_view raw);

/// @returns The path after the prefix; nothing if the path does not start with it.
std::optional<std::string> pathAfter(const request_target &target, std::string_view prefix);

/// @returns A numeric query parameter; nothing if it is missing or not an unsigned integer.
std::optional<std::uint64_t> numberOf(const request_target &target, const std::string &name);

} // namespace poplarspool::standin
