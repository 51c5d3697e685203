#include "base/connect.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace poplarspool {

namespace {

struct socket_address
{
    sockaddr_storage bytes{};
    socklen_t size = 0;
};

socket_address addressOf(const endpoint &to)
{
    socket_address address;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address.bytes);
    if (inet_pton(AF_INET, to.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(to.port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.bytes);
    if (inet_pton(AF_INET6, to.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(to.port);
        address.size = sizeof(sockaddr_in6);
    }
    return address;
}

connect_result failureOf(int fault)
{
    return {{}, fault == ECONNREFUSED ? connect_end::Refused : connect_end::Failed, "refused"};
}

/// @returns A connected socket, or one that is still connecting (end Silent).
connect_result beginConnect(const endpoint &to)
{
    const socket_address address = addressOf(to);
    if (address.size == 0 || to.port == 0)
        return {{}, connect_end::InvalidAddress, "not an IP address and port"};
    descriptor connection(
            socket(address.bytes.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!connection.isOpen())
        return {{}, connect_end::Failed, "can't create a socket"};
    setNoDelay(connection.get());
    limitReceiveBuffer(connection.get());
    const auto *raw = reinterpret_cast<const sockaddr *>(&address.bytes);
    if (connect(connection.get(), raw, address.size) == 0)
        return {std::move(connection), connect_end::Connected, {}};
    if (errno != EINPROGRESS)
        return failureOf(errno);
    return {std::move(connection), connect_end::Silent, "timed out"};
}

/// @param begun A socket that has become writable.
connect_result finishConnect(connect_result begun)
{
    int failure = 0;
    socklen_t size = sizeof failure;
    getsockopt(begun.connection.get(), SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0)
        return failureOf(failure);
    return {std::move(begun.connection), connect_end::Connected, {}};
}

} // namespace

connect_result tryConnect(const endpoint &to, socket_deadline deadline, int interruptFd)
{
    connect_result begun = beginConnect(to);
    if (begun.end != connect_end::Silent)
        return begun;
    const socket_fault fault =
            waitForSocket(begun.connection.get(), POLLOUT, deadline, interruptFd);
    if (fault == socket_fault::Interrupted)
        return {{}, connect_end::Interrupted, "stopped"};
    if (fault != socket_fault::None)
        return {{}, connect_end::Silent, "timed out"};
    return finishConnect(std::move(begun));
}

error connectErrorOf(const endpoint &to, const connect_result &failed)
{
    const bool isInvalid = failed.end == connect_end::InvalidAddress;
    return notRun(isInvalid ? error_code::BadRequest : error_code::Unavailable,
                  "can't connect to " + textOf(to) + ": " + std::string(failed.reason));
}

result<descriptor> connectTo(const endpoint &to, socket_deadline deadline, int interruptFd)
{
    connect_result made = tryConnect(to, deadline, interruptFd);
    if (made.end == connect_end::Connected)
        return std::move(made.connection);
    return connectErrorOf(to, made);
}

bool isConnectionRefused(const endpoint &to, socket_deadline deadline)
{
    return tryConnect(to, deadline, -1).end == connect_end::Refused;
}

std::vector<connect_end> probeAll(std::span<const endpoint> addresses, socket_deadline deadline)
{
    std::vector<connect_result> attempts;
    attempts.reserve(addresses.size());
    for (const endpoint &each : addresses)
        attempts.push_back(beginConnect(each));
    const auto isPending = [](const connect_result &one) { return one.end == connect_end::Silent; };
    while (std::ranges::any_of(attempts, isPending) && socket_clock::now() < deadline) {
        std::vector<pollfd> watched;
        watched.reserve(attempts.size());
        for (const connect_result &each : attempts)
            watched.push_back({isPending(each) ? each.connection.get() : -1, POLLOUT, 0});
        const auto left =
                std::chrono::ceil<std::chrono::milliseconds>(deadline - socket_clock::now());
        poll(watched.data(), watched.size(),
             static_cast<int>(std::max(left, std::chrono::milliseconds(0)).count()));
        for (std::size_t i = 0; i < attempts.size(); ++i) {
            if (watched[i].revents != 0)
                attempts[i] = finishConnect(std::move(attempts[i]));
        }
    }
    std::vector<connect_end> ends;
    ends.reserve(attempts.size());
    for (const connect_result &each : attempts)
        ends.push_back(each.end);
    return ends;
}

} // namespace poplarspool
