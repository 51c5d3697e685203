#pragma once

#include "poplarspool/base/endpoint.h"

#include <optional>
#include <sys/socket.h>

namespace poplarspool::peer {

/// An IP address and port as a sockaddr.
struct numeric_address
{
    sockaddr_storage bytes{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr *get() { return reinterpret_cast<sockaddr *>(&bytes); }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&bytes); }
    int family() const { return bytes.ss_family; }
};

/// @returns nullopt if the host is not a numeric IP address; host names are never resolved.
std::optional<numeric_address> numericAddressOf(const endpoint &address);

endpoint endpointOf(const numeric_address &address);

/// @returns The address to which a socket is bound; an empty endpoint on failure.
endpoint boundAddress(int fd);
/// @returns The address to which a socket is connected; an empty endpoint on failure.
endpoint remoteAddress(int fd);

} // namespace poplarspool::peer
