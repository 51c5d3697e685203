#include "peer/packed_address.h"

#include <arpa/inet.h>
#include <array>

namespace poplarspool::peer {

std::optional<packed_address> packedAddressOf(const endpoint &address)
{
    in_addr numeric{};
    if (inet_pton(AF_INET, address.host.c_str(), &numeric) != 1)
        return std::nullopt;
    return packed_address{ntohl(numeric.s_addr), address.port};
}

endpoint endpointOf(const packed_address &address)
{
    const in_addr numeric{htonl(address.host)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &numeric, text.data(), text.size());
    return {text.data(), address.port};
}

} // namespace poplarspool::peer
