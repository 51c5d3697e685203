#pragma once

#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <optional>

namespace poplarspool::peer {

/// An IPv4 address and port in the 6 bytes that they take in a datagram.
struct packed_address
{
    std::uint32_t host = 0; ///< In host byte order.
    std::uint16_t port = 0;

    bool operator==(const packed_address &) const = default;
};

/// @returns nullopt if the host is not a numeric IPv4 address.
std::optional<packed_address> packedAddressOf(const endpoint &address);

endpoint endpointOf(const packed_address &address);

} // namespace poplarspool::peer
