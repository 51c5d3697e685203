#pragma once

#include "base/socket.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace poplarspool::gateway::test {

/// @returns Both ends of a TCP connection.
inline std::array<descriptor, 2> connectedPair()
{
    const descriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *raw = reinterpret_cast<sockaddr *>(&at);
    socklen_t size = sizeof at;
    CPPUNIT_ASSERT(bind(listener.get(), raw, size) == 0);
    CPPUNIT_ASSERT(listen(listener.get(), 1) == 0);
    getsockname(listener.get(), raw, &size);
    descriptor near(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    CPPUNIT_ASSERT(connect(near.get(), raw, size) == 0);
    return {std::move(near), descriptor(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC))};
}

} // namespace poplarspool::gateway::test
