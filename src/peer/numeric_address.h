#pragma once

#include "poplarspool/base/endpoint.h"

#include <optional>
#include <sys/socket.h>

namespace poplarspool::peer {

/// An IP address and port in the form of the socket calls.
struct numeric_address
{
    sockaddr_storage bytes{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr *get() { return reinterpret_cast<sockaddr *>(&bytes); }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&bytes); }
    int family() const { return bytes.ss_family; }
};

/// @returns Nothing where the host is not an IP number; names are never looked up.
std::optional<numeric_address> numericAddressOf(const endpoint &address);

endpoint endpointOf(const numeric_address &address);

/// @returns The address that a socket is bound to.
endpoint boundAddress(int fd);

} // namespace poplarspool::peer
