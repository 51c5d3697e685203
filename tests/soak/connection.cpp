#include "soak/connection.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <sys/socket.h>

namespace poplarspool::soak {

descriptor listenAt(const endpoint &at)
{
    constexpr int backlog = 512;
    descriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &address.sin_addr);
    if (bind(listener.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listener.get(), backlog) != 0)
        listener.reset();
    return listener;
}

int message_head::status() const
{
    constexpr std::size_t versionBytes = 9; // "HTTP/1.1 "
    return firstLine.starts_with("HTTP/1.1 ") ? std::atoi(firstLine.c_str() + versionBytes) : 0;
}

void connection::abort()
{
    abortOnClose(socket.get());
    socket.reset();
}

bool connection::send(std::string_view bytes, socket_deadline deadline)
{
    return sendAll(socket.get(), bytes, deadline, -1).fault == socket_fault::None;
}

std::optional<message_head> connection::receiveHead(socket_deadline deadline)
{
    std::size_t end = 0;
    while ((end = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(deadline))
            return std::nullopt;
    }
    const std::string text = take(end + 4);
    message_head head;
    std::size_t at = text.find("\r\n");
    head.firstLine = text.substr(0, at);
    for (at += 2; at < end; at = text.find("\r\n", at) + 2) {
        const std::string line = text.substr(at, text.find("\r\n", at) - at);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        if (colon != std::string::npos)
            head.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
    }
    return head;
}

bool connection::receiveMore(socket_deadline deadline)
{
    char bytes[16 * 1024];
    const receive_result got = receiveSome(socket.get(), bytes, sizeof bytes, deadline, -1);
    buffered.append(bytes, got.bytes);
    hasEnded = got.isEnd;
    return got.bytes > 0;
}

std::string connection::take(std::size_t bytes)
{
    std::string taken = buffered.substr(0, bytes);
    buffered.erase(0, bytes);
    return taken;
}

} // namespace poplarspool::soak
