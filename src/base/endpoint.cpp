#include "poplarspool/base/endpoint.h"

#include <arpa/inet.h>
#include <charconv>
#include <optional>

namespace poplarspool {

namespace {

bool isAddress(int family, const std::string &host)
{
    unsigned char bytes[sizeof(in6_addr)];
    // inet_pton() reads only up to the first zero byte.
    return host.find('\0') == std::string::npos && inet_pton(family, host.c_str(), bytes) == 1;
}

std::optional<std::uint16_t> portOf(std::string_view digits)
{
    std::uint16_t port = 0;
    const char *end = digits.data() + digits.size();
    const auto [stop, fault] = std::from_chars(digits.data(), end, port);
    if (fault != std::errc{} || stop != end)
        return std::nullopt;
    return port;
}

error malformed(std::string_view text)
{
    return notRun(error_code::BadRequest,
                  "not an IP address and port such as 127.0.0.1:8080 or [::1]:8080: "
                          + std::string(text));
}

} // namespace

result<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed(text);
    const std::optional<std::uint16_t> port = portOf(text.substr(colon + 1));
    if (!port)
        return malformed(text);
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    if (!isAddress(bracketed ? AF_INET6 : AF_INET, std::string(host)))
        return malformed(text);
    return endpoint{std::string(host), *port};
}

std::string textOf(const endpoint &address)
{
    const bool isV6 = address.host.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

} // namespace poplarspool
