#pragma once

#include "poplarspool/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarspool {

/// IP address and port. Port 0 is valid only as a bind address, where the system chooses the port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool isValid() const { return !host.empty() && port != 0; }
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const endpoint &) const = default;
};

/// @param text Such as "127.0.0.1:8080" or "[::1]:8080". Host names are not accepted.
result<endpoint> parseEndpoint(std::string_view text);

/// @returns The text form that parseEndpoint() accepts.
std::string textOf(const endpoint &address);

} // namespace poplarspool
