#pragma once

// Sockets, HTTP/1.1 text and time for the stand-ins. Loopback only.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using steady = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch())
            .count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline void sleepMs(std::int64_t time)
{
    if (time > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

struct address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in rawOf(const address &of)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.host.c_str(), &raw.sin_addr);
    return raw;
}

/// Listens; -1 if the address is in use.
inline int listenOn(const address &at)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in raw = rawOf(at);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0
        || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const address &to, int timeoutMs = 1000)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in raw = rawOf(to);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0) {
        pollfd state{fd, POLLOUT, 0};
        int failure = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof failure;
        if (failure == 0 && poll(&state, 1, timeoutMs) != 1)
            failure = ETIMEDOUT;
        if (failure == 0)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
        if (failure != 0) {
            close(fd);
            return -1;
        }
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

enum class read_end { Bytes, Closed, Reset, TimedOut };

/// Appends what arrives within the time.
inline read_end readSome(int fd, std::string &into, std::int64_t untilMs)
{
    while (true) {
        pollfd state{fd, POLLIN, 0};
        const std::int64_t left = untilMs - nowMs();
        if (left <= 0)
            return read_end::TimedOut;
        const int ready = poll(&state, 1, static_cast<int>(left));
        if (ready < 0 && errno == EINTR)
            continue;
        if (ready <= 0)
            return read_end::TimedOut;
        char bytes[16384];
        const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return read_end::Reset;
        if (count == 0)
            return read_end::Closed;
        into.append(bytes, static_cast<std::size_t>(count));
        return read_end::Bytes;
    }
}

struct headers
{
    std::vector<std::pair<std::string, std::string>> all;

    std::string of(const std::string &name) const
    {
        for (const auto &[key, value] : all) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const { return !of(name).empty(); }
};

struct message
{
    std::string first; ///< Request line or status line.
    standin::headers headers;
    std::string body;

    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
};

/// Removes a head from the buffer; none if it isn't there as a whole.
inline std::optional<message> takeHead(std::string &buffer)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    message parsed;
    std::size_t line = head.find("\r\n");
    parsed.first = head.substr(0, line);
    for (std::size_t at = line + 2; at < head.size();) {
        const std::size_t stop = head.find("\r\n", at);
        const std::string field = head.substr(at, stop - at);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < field.size() && field[value] == ' ')
                ++value;
            parsed.headers.all.emplace_back(field.substr(0, colon), field.substr(value));
        }
        at = stop + 2;
    }
    return parsed;
}

/// Reads one request; none at the end of the connection.
inline std::optional<message> readRequest(int fd, std::string &buffer, std::int64_t untilMs)
{
    std::optional<message> head;
    while (!(head = takeHead(buffer))) {
        if (readSome(fd, buffer, untilMs) != read_end::Bytes)
            return std::nullopt;
    }
    const std::size_t length =
            std::strtoul(head->headers.of("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (readSome(fd, buffer, untilMs) != read_end::Bytes)
            return std::nullopt;
    }
    head->body = buffer.substr(0, length);
    buffer.erase(0, length);
    return head;
}

/// How a reply ended, as a requester sees it.
struct reply
{
    enum class ending { Whole, Cut, Reset, TimedOut, NoConnection };

    int status = 0;
    standin::headers headers;
    std::string body;
    ending end = ending::NoConnection;
    std::int64_t tookMs = 0;
};

inline const char *nameOf(reply::ending end)
{
    switch (end) {
    case reply::ending::Whole:
        return "whole";
    case reply::ending::Cut:
        return "cut";
    case reply::ending::Reset:
        return "reset";
    case reply::ending::TimedOut:
        return "timed_out";
    case reply::ending::NoConnection:
        break;
    }
    return "no_connection";
}

/// Reads a reply with a length or in chunks. A reply without either ends with its connection.
inline reply readReply(int fd, std::string &buffer, std::int64_t untilMs)
{
    reply got;
    const auto endOf = [](read_end end) {
        return end == read_end::Closed   ? reply::ending::Cut
                : end == read_end::Reset ? reply::ending::Reset
                                         : reply::ending::TimedOut;
    };
    std::optional<message> head;
    while (!(head = takeHead(buffer))) {
        const read_end end = readSome(fd, buffer, untilMs);
        if (end != read_end::Bytes) {
            got.end = endOf(end);
            return got;
        }
    }
    got.status = head->status();
    got.headers = head->headers;
    const bool isChunked = got.headers.of("Transfer-Encoding") == "chunked";
    const bool hasLength = got.headers.has("Content-Length");
    std::size_t left = std::strtoul(got.headers.of("Content-Length").c_str(), nullptr, 10);
    while (true) {
        if (isChunked) {
            const std::size_t line = buffer.find("\r\n");
            if (line != std::string::npos) {
                const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
                if (buffer.size() >= line + 2 + size + 2) {
                    got.body += buffer.substr(line + 2, size);
                    buffer.erase(0, line + 2 + size + 2);
                    if (size == 0) {
                        got.end = reply::ending::Whole;
                        return got;
                    }
                    continue;
                }
            }
        } else if (hasLength && buffer.size() >= left) {
            got.body = buffer.substr(0, left);
            buffer.erase(0, left);
            got.end = reply::ending::Whole;
            return got;
        }
        const read_end end = readSome(fd, buffer, untilMs);
        if (end == read_end::Bytes)
            continue;
        if (!isChunked)
            got.body = buffer;
        got.end = end == read_end::Closed && !isChunked && !hasLength ? reply::ending::Whole
                                                                      : endOf(end);
        return got;
    }
}

/// Sends a request over a new connection and reads the reply.
inline reply ask(const address &to, const std::string &request, std::int64_t timeMs)
{
    const std::int64_t begin = nowMs();
    reply got;
    const int fd = connectTo(to);
    if (fd >= 0) {
        std::string buffer;
        if (sendAll(fd, request))
            got = readReply(fd, buffer, begin + timeMs);
        close(fd);
    }
    got.tookMs = nowMs() - begin;
    return got;
}

inline std::string replyText(int status, const std::string &body,
                             const std::string &extraHeaders = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n"
            + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection on a thread of its own, until the process ends.
inline void serveForever(int listener, std::function<void(int)> onConnection)
{
    std::thread([listener, onConnection = std::move(onConnection)] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EBADF || errno == EINVAL)
                    return;
                sleepMs(5);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, onConnection] {
                onConnection(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

} // namespace standin
