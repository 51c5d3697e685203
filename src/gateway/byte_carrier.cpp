#include "gateway/byte_carrier.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace poplarspool::gateway {

namespace {

/// One direction of a tunnel.
struct byte_flow
{
    int from = -1;
    int to = -1;
    std::string buffer; ///< Received and not yet sent; allocated while bytes wait only.
    bool hasEnded = false; ///< The sender has closed its side.
    bool isClosePassedOn = false;

    bool wantsInput() const { return !hasEnded && buffer.empty(); }
    bool wantsOutput() const { return !buffer.empty(); }
};

/// poll() reports a connection that is closed in both directions all the time, so one from which
/// nothing is expected any more is left out.
int polledDescriptor(const byte_flow &incoming, const byte_flow &outgoing)
{
    return incoming.hasEnded && outgoing.isClosePassedOn ? -1 : incoming.from;
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/// Sends what is buffered, and the close after it.
/// @returns False if the connection has failed.
bool drain(byte_flow &flow)
{
    while (!flow.buffer.empty()) {
        const ssize_t count =
                send(flow.to, flow.buffer.data(), flow.buffer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0)
            return wouldBlock();
        flow.buffer.erase(0, static_cast<std::size_t>(count));
    }
    std::string().swap(flow.buffer);
    if (flow.hasEnded && !flow.isClosePassedOn) {
        shutdown(flow.to, SHUT_WR);
        flow.isClosePassedOn = true;
    }
    return true;
}

/// @returns False if a connection has failed.
bool move(byte_flow &flow, counter &bytesCarried)
{
    std::array<char, config::tunnelBufferBytes> bytes; // NOLINT: filled before it is read
    const ssize_t count = recv(flow.from, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0)
        return wouldBlock();
    flow.hasEnded = count == 0;
    bytesCarried.add(static_cast<std::uint64_t>(count));
    flow.buffer.assign(bytes.data(), static_cast<std::size_t>(count));
    return drain(flow);
}

short eventsOf(const byte_flow &incoming, const byte_flow &outgoing)
{
    return static_cast<short>((incoming.wantsInput() ? POLLIN : 0)
                              | (outgoing.wantsOutput() ? POLLOUT : 0));
}

constexpr int closeTimeoutMs = static_cast<int>(config::tunnelCloseTime.count());

/// @returns Whether the connections can be closed in an orderly way: no byte is lost.
bool carryUntilClosed(byte_flow &there, byte_flow &back, int interruptFd, counter &bytesCarried)
{
    while (!there.isClosePassedOn || !back.isClosePassedOn) {
        std::array<pollfd, 3> watched{
                pollfd{polledDescriptor(there, back), eventsOf(there, back), 0},
                pollfd{polledDescriptor(back, there), eventsOf(back, there), 0},
                pollfd{interruptFd, POLLIN, 0}};
        const bool isClosing = there.hasEnded || back.hasEnded;
        const int ready = poll(watched.data(), watched.size(), isClosing ? closeTimeoutMs : -1);
        // The near side would take an orderly close for the end of an answer: it gets one only if
        // the far side has ended, and if no byte is lost.
        if (ready == 0)
            return back.hasEnded && there.buffer.empty() && back.buffer.empty();
        if (watched[2].revents != 0 || (ready < 0 && errno != EINTR))
            return false;
        for (std::size_t side = 0; side < 2; ++side) {
            byte_flow &incoming = side == 0 ? there : back;
            byte_flow &outgoing = side == 0 ? back : there;
            const short events = watched[side].revents;
            if ((events & (POLLERR | POLLNVAL)) != 0)
                return false;
            if ((events & POLLOUT) != 0 && !drain(outgoing))
                return false;
            const bool hasInput = (events & (POLLIN | POLLHUP)) != 0;
            if (hasInput && incoming.wantsInput() && !move(incoming, bytesCarried))
                return false;
            // Closed in both directions, and what is left can't be received yet: waiting for it
            // would be a busy loop.
            if ((events & POLLHUP) != 0 && !incoming.hasEnded && !incoming.buffer.empty())
                return false;
        }
    }
    return true;
}

} // namespace

void carryBytes(descriptor near, descriptor far, int interruptFd, counter &bytesCarried)
{
    byte_flow there{near.get(), far.get(), {}, false, false};
    byte_flow back{far.get(), near.get(), {}, false, false};
    // Also an exception or the end of this process must not look like the end of an answer.
    abortOnClose(near.get());
    abortOnClose(far.get());
    if (!carryUntilClosed(there, back, interruptFd, bytesCarried))
        return;
    restoreGracefulClose(near.get());
    restoreGracefulClose(far.get());
}

} // namespace poplarspool::gateway
