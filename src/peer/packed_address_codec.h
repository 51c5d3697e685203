#pragma once

#include "peer/codec.h"
#include "peer/packed_address.h"

/// The field of an IPv4 address in a datagram.
namespace poplarspool::peer {

inline constexpr std::size_t packedAddressBytes = 6;

inline void addressFields(decoder &in, endpoint &address)
{
    packed_address packed;
    in.fixed(packed.host);
    in.fixed(packed.port);
    address = endpointOf(packed);
}

/// @attention Throws malformed_payload if the host is not a numeric IPv4 address.
inline void addressFields(encoder &out, const endpoint &address)
{
    const auto packed = packedAddressOf(address);
    if (!packed)
        throw malformed_payload("not a numeric IPv4 address");
    out.fixed(packed->host);
    out.fixed(packed->port);
}

} // namespace poplarspool::peer
