#pragma once

#include "poplarspool/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarspool {

/// IP address and port. Port 0 is invalid, but where a server may choose its port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool isValid() const { return !host.empty() && port != 0; }
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const endpoint &) const = default;
};

/// @param text Such as "127.0.0.1:8080" or "[::1]:8080"; an IP number, never a name.
result<endpoint> parseEndpoint(std::string_view text);

/// @returns What parseEndpoint() reads.
std::string textOf(const endpoint &address);

} // namespace poplarspool
