#pragma once

#include "poplarspool/base/endpoint.h"

#include <cstdint>

namespace poplarspool::peer {

/// @returns The address of another socket of the same instance; an invalid address unchanged.
inline endpoint atPortOffset(endpoint address, std::uint16_t offset)
{
    if (address.isValid())
        address.port = static_cast<std::uint16_t>(address.port + offset);
    return address;
}

} // namespace poplarspool::peer
