#pragma once

#include "base/socket.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <sys/socket.h>

/// What the fuzzing targets share. Each is one function that the compiler's fuzzing library calls
/// with any bytes: it must return, whatever they are, and finds a fault by ending the process.
namespace poplarspool::fuzz {

inline void require(bool holds, const char *what)
{
    if (holds)
        return;
    std::fprintf(stderr, "fuzz: %s\n", what);
    std::abort();
}

/// Takes the first byte off, to choose by.
inline std::uint8_t takeByte(std::string_view &bytes)
{
    if (bytes.empty())
        return 0;
    const auto first = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    return first;
}

/// The bytes in a socket, as a peer sends them that then ends its side.
/// @returns The end to read from. More than fits the socket's buffer is left out.
inline descriptor socketOf(std::string_view bytes)
{
    std::array<int, 2> ends{};
    require(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) == 0, "no sockets");
    const descriptor peer(ends[1]);
    ::send(peer.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(peer.get(), SHUT_WR);
    return descriptor(ends[0]);
}

} // namespace poplarspool::fuzz

/// Named by the library.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size); // NOLINT
