#include "gateway/runner_call.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace poplarspool::gateway {

namespace {

constexpr std::size_t receiveBytes = 16 * 1024;
/// Replies with a lower status are interim.
constexpr int firstFinalStatus = 200;
/// Maximum length of a chunk's size line or of a trailer.
constexpr std::size_t maxChunkLineBytes = 1024;
/// Maximum number of bytes that are read after the limit: an answer that is ready is still taken.
constexpr std::size_t maxLateBytes = 32 * 1024;
/// Maximum length of all trailers of one reply.
constexpr std::size_t maxTrailerBytes = 16 * 1024;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

body_piece failed(call_fault fault)
{
    return {{}, false, fault};
}

} // namespace

std::string_view nameOf(call_fault fault)
{
    switch (fault) {
    case call_fault::CallerGone:
        return "caller_gone";
    case call_fault::TimedOut:
        return "timed_out";
    case call_fault::Closed:
        return "closed";
    case call_fault::Malformed:
        return "malformed";
    case call_fault::None:
        break;
    }
    return "none";
}

runner_call::runner_call(descriptor connection, int callerFd, silence_check check)
    : connection(std::move(connection)), callerFd(callerFd), check(std::move(check))
{ }

/// Watches the caller's connection for a half-close only, not for bytes: those of a pipelined
/// request may be pending all the time.
call_fault runner_call::await(short events, socket_deadline deadline) const
{
    const socket_deadline startedAt = socket_clock::now();
    while (true) {
        const bool isChecked = check.interval > milliseconds::zero();
        const socket_deadline checkAt = isChecked ? socket_clock::now() + check.interval : deadline;
        switch (waitForSocket(connection.get(), events, std::min(deadline, checkAt), callerFd,
                              POLLRDHUP)) {
        case socket_fault::None:
            return call_fault::None;
        case socket_fault::Interrupted:
            return call_fault::CallerGone;
        case socket_fault::TimedOut:
            if (socket_clock::now() >= deadline)
                return call_fault::TimedOut;
            if (check.isLost(
                        std::chrono::duration_cast<milliseconds>(socket_clock::now() - startedAt)))
                return call_fault::Closed;
            break;
        case socket_fault::Closed:
            return call_fault::Closed;
        }
    }
}

bool runner_call::hasWholeHead() const
{
    return buffer.find(headEnd) != std::string::npos;
}

bool runner_call::isHeadTooLong() const
{
    return std::min(buffer.find(headEnd), buffer.size()) > config::maxReplyHeaderBytes;
}

/// Both parts are sent together and not copied: bodies may be large, and many are sent at a time.
ssize_t runner_call::sendRest(const request_text &request) const
{
    const std::size_t headSent = std::min(bytesSent, request.head.size());
    const std::string_view headLeft = request.head.substr(headSent);
    const std::string_view bodyLeft = request.body.substr(bytesSent - headSent);
    // The kernel doesn't write to them.
    std::array<iovec, 2> parts{iovec{const_cast<char *>(headLeft.data()), headLeft.size()},
                               iovec{const_cast<char *>(bodyLeft.data()), bodyLeft.size()}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    return ::sendmsg(connection.get(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
}

call_fault runner_call::send(const request_text &request, socket_deadline deadline)
{
    while (bytesSent < request.head.size() + request.body.size()) {
        const ssize_t count = sendRest(request);
        if (count > 0) {
            bytesSent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno == EINTR)
            continue;
        // A runner may refuse a long body before it has read it, and close: its answer is still
        // valid.
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            // Reported once: the kernel then shows a reset connection as one that was closed.
            wasReset = true;
            return bytesSent > 0 ? call_fault::None : call_fault::Closed;
        }
        const call_fault fault = await(POLLOUT | POLLIN, deadline);
        if (fault != call_fault::None)
            return fault;
        if (isIdleAndOpen(connection.get()))
            continue;
        // The rest of this body must not be followed by another request, so a connection that was
        // answered early is closed after its reply (isSentWhole stays false).
        if (fill(deadline) != call_fault::None || hasWholeHead())
            return call_fault::None;
        if (isHeadTooLong())
            return call_fault::Malformed;
    }
    isSentWhole = true;
    return call_fault::None;
}

call_fault runner_call::fill(socket_deadline deadline)
{
    if (hasEnded)
        return call_fault::Closed;
    std::array<char, receiveBytes> bytes; // NOLINT: filled before it is read
    while (true) {
        // Checked before each recv(): a runner that sends without end always has something to read.
        const bool isLate = socket_clock::now() >= deadline;
        if (isLate && lateBytes >= maxLateBytes)
            return call_fault::TimedOut;
        const ssize_t count = recv(connection.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count > 0) {
            lateBytes += isLate ? static_cast<std::size_t>(count) : 0;
            buffer.append(bytes.data(), static_cast<std::size_t>(count));
            if (check.onBytes)
                check.onBytes();
            return call_fault::None;
        }
        if (count == 0) {
            hasEnded = true;
            return call_fault::Closed;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            wasReset = true;
            return call_fault::Closed;
        }
        const call_fault fault = await(POLLIN, deadline);
        if (fault != call_fault::None)
            return fault;
    }
}

std::variant<reply_head, call_fault> runner_call::readHead(socket_deadline deadline)
{
    std::size_t interimBytes = 0;
    while (true) {
        const std::size_t end = buffer.find(headEnd);
        if (interimBytes + std::min(end, buffer.size()) > config::maxReplyHeaderBytes)
            return call_fault::Malformed;
        if (end == std::string::npos) {
            const call_fault fault = fill(deadline);
            if (fault != call_fault::None)
                return fault;
            continue;
        }
        const std::size_t bytes = end + headEnd.size();
        auto head = parseReplyHead(std::string_view(buffer).substr(0, bytes));
        if (!head)
            return call_fault::Malformed;
        buffer.erase(0, bytes);
        if (head->status < firstFinalStatus) {
            interimBytes += bytes;
            continue;
        }
        keepsAlive = head->keepsAlive;
        bodyLeft = head->bodyBytes.value_or(0);
        isInChunk = false;
        if (!mayHaveBody(head->status))
            body = framing::None;
        else if (head->isChunked)
            body = framing::Chunked;
        else
            body = head->bodyBytes ? framing::Sized : framing::ToClose;
        return *head;
    }
}

body_piece runner_call::readBody(socket_deadline deadline)
{
    body_piece piece;
    switch (body) {
    case framing::None:
        piece.isLast = true;
        break;
    case framing::Sized:
        piece = readSized(deadline);
        break;
    case framing::Chunked:
        piece = readChunk(deadline);
        break;
    case framing::ToClose:
        piece = readToClose(deadline);
        break;
    }
    isReplyWhole = piece.isLast;
    return piece;
}

body_piece runner_call::readRest(socket_deadline deadline, std::size_t maxBytes)
{
    body_piece rest;
    while (!rest.isLast && rest.fault == call_fault::None && rest.bytes.size() < maxBytes) {
        body_piece next = readBody(deadline);
        rest.bytes += next.bytes;
        rest.isLast = next.isLast;
        rest.fault = next.fault;
    }
    return rest;
}

body_piece runner_call::skipRest(socket_deadline deadline, std::size_t maxBytes)
{
    body_piece rest;
    std::size_t skipped = 0;
    while (!rest.isLast && rest.fault == call_fault::None && skipped < maxBytes) {
        rest = readBody(deadline);
        skipped += std::exchange(rest.bytes, {}).size();
    }
    return rest;
}

body_piece runner_call::readSized(socket_deadline deadline)
{
    if (bodyLeft > 0 && buffer.empty()) {
        const call_fault fault = fill(deadline);
        if (fault != call_fault::None)
            return failed(fault);
    }
    body_piece piece;
    const std::size_t count = std::min(bodyLeft, buffer.size());
    piece.bytes = buffer.substr(0, count);
    buffer.erase(0, count);
    bodyLeft -= count;
    piece.isLast = bodyLeft == 0;
    return piece;
}

/// The end of the connection is the end of the body only if the connection is closed in an orderly
/// way: after a reset, the missing length is unknown.
body_piece runner_call::readToClose(socket_deadline deadline)
{
    if (buffer.empty()) {
        const call_fault fault = fill(deadline);
        if (fault == call_fault::Closed && hasEnded && !wasReset)
            return {{}, true, call_fault::None};
        if (fault != call_fault::None)
            return failed(fault);
    }
    return {std::exchange(buffer, {}), false, call_fault::None};
}

call_fault runner_call::readLine(std::string &line, socket_deadline deadline)
{
    while (true) {
        const std::size_t end = buffer.find(lineEnd);
        if (std::min(end, buffer.size()) > maxChunkLineBytes)
            return call_fault::Malformed;
        if (end != std::string::npos) {
            line = buffer.substr(0, end);
            buffer.erase(0, end + lineEnd.size());
            return call_fault::None;
        }
        const call_fault fault = fill(deadline);
        if (fault != call_fault::None)
            return fault;
    }
}

call_fault runner_call::skipTrailers(socket_deadline deadline)
{
    std::string line;
    std::size_t bytes = 0;
    do {
        const call_fault fault = readLine(line, deadline);
        if (fault != call_fault::None)
            return fault;
        bytes += line.size() + lineEnd.size();
        if (bytes > maxTrailerBytes)
            return call_fault::Malformed;
    } while (!line.empty());
    return call_fault::None;
}

body_piece runner_call::readChunk(socket_deadline deadline)
{
    if (!isInChunk) {
        std::string line;
        call_fault fault = readLine(line, deadline);
        if (fault != call_fault::None)
            return failed(fault);
        const auto size = chunkSizeOf(line);
        if (!size)
            return failed(call_fault::Malformed);
        if (*size == 0) {
            fault = skipTrailers(deadline);
            return fault == call_fault::None ? body_piece{{}, true, fault} : failed(fault);
        }
        bodyLeft = *size;
        isInChunk = true;
    }
    body_piece piece = readSized(deadline);
    piece.isLast = false;
    if (piece.fault != call_fault::None || bodyLeft > 0)
        return piece;
    isInChunk = false;
    std::string end;
    const call_fault fault = readLine(end, deadline);
    if (fault != call_fault::None)
        return failed(fault);
    if (!end.empty())
        return failed(call_fault::Malformed);
    return piece;
}

bool runner_call::isDrainedAndOpen() const
{
    return buffer.empty() && !hasEnded && !wasReset && isIdleAndOpen(connection.get());
}

descriptor runner_call::takeConnection()
{
    const bool isReusable = isSentWhole && isReplyWhole && keepsAlive && !hasEnded
            && body != framing::ToClose && buffer.empty();
    if (!isReusable)
        return descriptor();
    return std::move(connection);
}

void runner_call::abort()
{
    if (!connection.isOpen())
        return;
    abortOnClose(connection.get());
    connection.reset();
}

} // namespace poplarspool::gateway
