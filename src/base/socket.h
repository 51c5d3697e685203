#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"

#include <atomic>
#include <chrono>
#include <poll.h>
#include <string_view>
#include <sys/types.h>

/// Socket operations with deadlines. All waits use poll(), because select() doesn't support
/// descriptors above 1023 and an instance with 1,000 streams has twice as many.
namespace poplarspool {

using socket_clock = std::chrono::steady_clock;
using socket_deadline = socket_clock::time_point;

enum class socket_fault { None, Closed, TimedOut, Interrupted };

/// Owner of a file descriptor, which it closes.
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

/// Flag that stays set once raised and can be polled together with a socket.
class pollable_flag
{
public:
    pollable_flag();
    void raise();
    bool isRaised() const { return raised.load(); }
    int descriptorNumber() const { return event.get(); }

private:
    std::atomic<bool> raised{false};
    descriptor event;
};

/// Waits until one of `events` (as for poll()) occurs on a socket.
/// @param interruptFd Descriptor that interrupts the wait; -1 for none.
/// @param interruptEvents Events on interruptFd that interrupt the wait.
socket_fault waitForSocket(int fd, short events, socket_deadline deadline, int interruptFd,
                           short interruptEvents = POLLIN);

struct receive_result
{
    std::size_t bytes = 0;
    socket_fault fault = socket_fault::None; ///< Also Closed if the peer has ended its side.
    bool isEnd = false; ///< The peer shut down its sending side.
};

/// Receives at least one byte, or returns the reason why not.
receive_result receiveSome(int fd, char *to, std::size_t size, socket_deadline deadline,
                           int interruptFd);

struct send_result
{
    std::size_t bytes = 0;
    socket_fault fault = socket_fault::None;
};

/// Sends all bytes, or returns how many the kernel accepted before the failure. Doesn't raise
/// SIGPIPE.
send_result sendAll(int fd, std::string_view bytes, socket_deadline deadline, int interruptFd);

/// @returns Whether an idle connection is still usable: open and without data to read.
bool isIdleAndOpen(int fd);

/// @returns Whether the peer has reset the connection or closed both directions.
bool isPeerGone(int fd);

void setNoDelay(int fd);

/// Bounds what the kernel keeps of bytes that are received and not yet read. To be called before
/// the socket connects, or for a listening socket, whose connections inherit it.
void limitReceiveBuffer(int fd);

/// Makes a connection fail if its peer has disappeared. After a network partition or the loss of a
/// machine no reset arrives, so reads would wait forever, and writes for minutes until the kernel
/// gives up.
/// @param silence Time without any packet from the peer. At least one second.
void enableDeadPeerDetection(int fd, std::chrono::seconds silence);

/// Makes the next close reset the connection, so that it can't be taken for a graceful one.
void abortOnClose(int fd);

/// Reverts abortOnClose().
void restoreGracefulClose(int fd);

/// Closes a connection whose peer may still be sending: shuts down the sending side and discards
/// what arrives. With unread bytes, the kernel would reset the connection on close, and the peer
/// could lose the reply.
void closeAfterReply(descriptor connection, socket_deadline deadline, int interruptFd);

} // namespace poplarspool
