#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"

#include <atomic>
#include <chrono>
#include <poll.h>
#include <string_view>
#include <sys/types.h>

/// Sockets with deadlines. Every wait here uses poll(): select() can't watch descriptors above
/// 1023, and an instance with 1,000 streams has twice as many.
namespace poplarspool {

using socket_clock = std::chrono::steady_clock;
using socket_deadline = socket_clock::time_point;

enum class socket_fault { None, Closed, TimedOut, Interrupted };

/// A descriptor that its owner closes.
class descriptor
{
public:
    descriptor() = default;
    explicit descriptor(int fd) : fd(fd) { }
    descriptor(const descriptor &) = delete;
    descriptor &operator=(const descriptor &) = delete;
    descriptor(descriptor &&other) noexcept : fd(other.release()) { }
    descriptor &operator=(descriptor &&other) noexcept;
    ~descriptor() { reset(); }

    int get() const { return fd; }
    bool isOpen() const { return fd >= 0; }
    int release();
    void reset();

private:
    int fd = -1;
};

/// Event that stays set once raised and can be polled together with a socket.
class raised_flag
{
public:
    raised_flag();
    void raise();
    bool isRaised() const { return raised.load(); }
    int descriptorNumber() const { return event.get(); }

private:
    std::atomic<bool> raised{false};
    descriptor event;
};

/// Waits until `events` (as for poll()) hold on a socket.
/// @param interruptFd Readable where the wait shall end early; -1 for none.
/// @param interruptEvents What must hold on interruptFd instead of being readable.
socket_fault waitForSocket(int fd, short events, socket_deadline deadline, int interruptFd,
                           short interruptEvents = POLLIN);

struct received
{
    std::size_t bytes = 0;
    socket_fault fault = socket_fault::None; ///< Closed also where the peer has ended its side.
    bool isEnd = false; ///< The peer ended its side in order.
};

/// Receives at least one byte, or tells why not.
received receiveSome(int fd, char *to, std::size_t size, socket_deadline deadline, int interruptFd);

struct sent
{
    std::size_t bytes = 0;
    socket_fault fault = socket_fault::None;
};

/// Sends all bytes, or tells how many went to the kernel before it failed. Never raises SIGPIPE.
sent sendAll(int fd, std::string_view bytes, socket_deadline deadline, int interruptFd);

/// Connects without delay of small segments.
result<descriptor> connectTo(const endpoint &to, socket_deadline deadline, int interruptFd);
/// @returns Whether the host says that nobody listens there; false where it says nothing in time.
bool isRefused(const endpoint &to, socket_deadline deadline);

/// @returns Whether an idle connection can still be used: open and with nothing to read.
bool isIdleAndOpen(int fd);

/// @returns Whether the peer has reset the connection or closed both directions.
bool isPeerGone(int fd);

void sendWithoutDelay(int fd);

/// Makes a connection fail whose other end has silently vanished: a partition or a lost machine
/// sends no reset, so that reads would wait for ever and writes until the kernel gives up after
/// minutes.
/// @param silence Time without any sign of the peer; whole seconds, at least one.
void noticeSilence(int fd, std::chrono::seconds silence);

/// Makes the next close abort the connection, so that its end can't be taken for an orderly one.
void abortOnClose(int fd);

/// Takes abortOnClose() back.
void closeInOrder(int fd);

/// Ends a connection whose peer may still be sending: without this, the unread bytes make the
/// kernel reset the connection, and the peer can lose the reply that was written before.
void closeAfterReply(descriptor connection, socket_deadline deadline, int interruptFd);

} // namespace poplarspool
