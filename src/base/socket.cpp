#include "base/socket.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace poplarspool {

namespace {

/// Maximum number of bytes discarded while a connection is closed after an early reply.
constexpr std::size_t maxDiscardedBytes = 4 * 1024 * 1024;

/// Rounds up, because rounding down would cause a busy loop in the last millisecond.
int pollTimeoutMs(socket_deadline deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - socket_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 1'000'000));
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

descriptor &descriptor::operator=(descriptor &&other) noexcept
{
    if (this != &other) {
        reset();
        fd = other.release();
    }
    return *this;
}

int descriptor::release()
{
    return std::exchange(fd, -1);
}

void descriptor::reset()
{
    if (fd >= 0)
        close(release());
}

pollable_flag::pollable_flag() : event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) { }

void pollable_flag::raise()
{
    raised.store(true);
    eventfd_write(event.get(), 1);
}

socket_fault waitForSocket(int fd, short events, socket_deadline deadline, int interruptFd,
                           short interruptEvents)
{
    while (true) {
        std::array<pollfd, 2> watched{pollfd{fd, events, 0},
                                      pollfd{interruptFd, interruptEvents, 0}};
        const int ready = poll(watched.data(), watched.size(), pollTimeoutMs(deadline));
        if (ready < 0 && errno != EINTR)
            return socket_fault::Closed;
        if (ready > 0 && watched[1].revents != 0)
            return socket_fault::Interrupted;
        if (ready > 0)
            return socket_fault::None;
        if (socket_clock::now() >= deadline)
            return socket_fault::TimedOut;
    }
}

receive_result receiveSome(int fd, char *to, std::size_t size, socket_deadline deadline,
                           int interruptFd)
{
    while (true) {
        // Checked before each recv(): a peer that sends single bytes would otherwise never be timed
        // out, because there is always something to read.
        if (socket_clock::now() >= deadline)
            return {0, socket_fault::TimedOut};
        const ssize_t count = recv(fd, to, size, MSG_DONTWAIT);
        if (count > 0)
            return {static_cast<std::size_t>(count)};
        if (count == 0)
            return {0, socket_fault::Closed, true};
        if (errno == EINTR)
            continue;
        if (!wouldBlock())
            return {0, socket_fault::Closed};
        const socket_fault fault = waitForSocket(fd, POLLIN, deadline, interruptFd);
        if (fault != socket_fault::None)
            return {0, fault};
    }
}

send_result sendAll(int fd, std::string_view bytes, socket_deadline deadline, int interruptFd)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count =
                send(fd, bytes.data() + done, bytes.size() - done, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0) {
            done += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (!wouldBlock())
            return {done, socket_fault::Closed};
        const socket_fault fault = waitForSocket(fd, POLLOUT, deadline, interruptFd);
        if (fault != socket_fault::None)
            return {done, fault};
    }
    return {done};
}

bool isIdleAndOpen(int fd)
{
    pollfd state{fd, POLLIN | POLLRDHUP, 0};
    return poll(&state, 1, 0) == 0;
}

bool isPeerGone(int fd)
{
    // A peer that only shut down its sending side (POLLRDHUP) may still read the reply, so it is
    // not gone. POLLHUP (both directions closed) and POLLERR (reset) are definite. A peer that has
    // closed the connection appears half-closed until it answers the next segment with a reset; the
    // next write or the one after it then fails.
    pollfd state{fd, 0, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR | POLLNVAL)) != 0;
}

void setNoDelay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void limitReceiveBuffer(int fd)
{
    const int bytes = config::receiveBufferBytes;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void enableDeadPeerDetection(int fd, std::chrono::seconds silence)
{
    const int on = 1;
    const int seconds = std::max(1, static_cast<int>(silence.count()));
    const int probes = 2;
    const int interval = std::max(1, seconds / (probes + 1));
    const int milliseconds = seconds * 1000;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

void abortOnClose(int fd)
{
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void restoreGracefulClose(int fd)
{
    const linger none{0, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

void closeAfterReply(descriptor connection, socket_deadline deadline, int interruptFd)
{
    shutdown(connection.get(), SHUT_WR);
    std::array<char, 4096> discarded{};
    std::size_t total = 0;
    while (total < maxDiscardedBytes) {
        const receive_result some = receiveSome(connection.get(), discarded.data(),
                                                discarded.size(), deadline, interruptFd);
        if (some.fault != socket_fault::None)
            return;
        total += some.bytes;
    }
}

} // namespace poplarspool
