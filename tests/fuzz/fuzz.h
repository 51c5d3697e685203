#pragma once

#include "base/socket.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <sys/socket.h>

/// Helpers shared by the fuzz targets. Each target is a function that libFuzzer calls with
/// arbitrary bytes. It must return for any input, and reports a fault by aborting the process.
namespace poplarspool::fuzz {

/// Prints the message and aborts the process unless the condition holds.
inline void require(bool holds, const char *what)
{
    if (holds)
        return;
    std::fprintf(stderr, "fuzz: %s\n", what);
    std::abort();
}

/// Removes the first byte, which selects what the target checks.
/// @returns That byte; 0 if there is none.
inline std::uint8_t takeByte(std::string_view &bytes)
{
    if (bytes.empty())
        return 0;
    const auto value = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    return value;
}

/// Sends the bytes into a new socket pair and shuts down the sending side, like a peer that closes
/// its connection after them. Bytes beyond the socket buffer are dropped.
/// @returns The socket to read from.
inline descriptor socketOf(std::string_view bytes)
{
    std::array<int, 2> sockets{};
    require(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) == 0,
            "can't create a socket pair");
    const descriptor peer(sockets[1]);
    ::send(peer.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(peer.get(), SHUT_WR);
    return descriptor(sockets[0]);
}

} // namespace poplarspool::fuzz

/// libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size); // NOLINT
