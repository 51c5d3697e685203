#include "peer/numeric_address.h"

#include <array>
#include <charconv>
#include <cstring>
#include <memory>
#include <netdb.h>
#include <string>

namespace poplarspool::peer {

std::optional<numeric_address> numericAddressOf(const endpoint &address)
{
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_DGRAM;
    addrinfo *found = nullptr;
    const std::string port = std::to_string(address.port);
    if (getaddrinfo(address.host.c_str(), port.c_str(), &hints, &found) != 0)
        return std::nullopt;
    const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> owner(found, &freeaddrinfo);
    numeric_address numeric;
    std::memcpy(&numeric.bytes, found->ai_addr, found->ai_addrlen);
    numeric.size = found->ai_addrlen;
    return numeric;
}

endpoint endpointOf(const numeric_address &address)
{
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> port{};
    if (getnameinfo(address.get(), address.size, host.data(), host.size(), port.data(), port.size(),
                    NI_NUMERICHOST | NI_NUMERICSERV)
        != 0)
        return {};
    endpoint result{host.data(), 0};
    const std::size_t digits = std::strlen(port.data());
    std::from_chars(port.data(), port.data() + digits, result.port);
    return result;
}

endpoint boundAddress(int fd)
{
    numeric_address address;
    if (getsockname(fd, address.get(), &address.size) != 0)
        return {};
    return endpointOf(address);
}

endpoint remoteAddress(int fd)
{
    numeric_address address;
    if (getpeername(fd, address.get(), &address.size) != 0)
        return {};
    return endpointOf(address);
}

} // namespace poplarspool::peer
