#pragma once

#include "base/http_text.h"
#include "base/socket.h"
#include "poplarspool/base/clock.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace poplarspool::gateway {

/// Why a step of a call failed.
enum class call_fault {
    None,
    CallerGone, ///< The caller closed its connection and no longer waits for the answer.
    TimedOut,
    Closed, ///< The runner closed or reset the connection.
    Malformed, ///< The received bytes are not a valid reply, or more than one may have.
};

std::string_view nameOf(call_fault fault);

/// A request as it is sent.
struct request_text
{
    std::string_view head; ///< Up to and including the empty line.
    std::string_view body = {};
};

/// A piece of a reply's body.
struct body_piece
{
    std::string bytes;
    bool isLast = false; ///< The body is complete.
    call_fault fault = call_fault::None;
};

/// What a call does while the runner is silent.
struct silence_check
{
    milliseconds interval{0}; ///< 0: nothing.
    /// Called after each interval without a byte from the runner, with the time since the last one.
    /// @returns Whether the call fails as if the connection had been closed.
    std::function<bool(milliseconds)> isLost;
    std::function<void()> onBytes; ///< Called when the runner has sent something.
};

/// One request to a runner on one connection. It also watches the caller's connection: if the
/// caller disconnects, each step ends at once. Otherwise the runner would go on computing an
/// unwanted answer until its first byte can't be delivered.
class runner_call
{
public:
    /// @param callerFd Descriptor of the caller's connection; -1: none to watch.
    runner_call(descriptor connection, int callerFd, silence_check check = {});

    /// Sends the whole request. Returns early with success if the runner has already answered, and
    /// with Malformed if it sends more than a head may have.
    call_fault send(const request_text &request, socket_deadline deadline);

    /// @returns The next final reply's head; interim replies are skipped.
    std::variant<reply_head, call_fault> readHead(socket_deadline deadline);

    /// Reads the next piece of the body that the last head has announced.
    body_piece readBody(socket_deadline deadline);

    /// Reads the rest of that body, until it is complete or has reached `maxBytes` bytes.
    /// @returns The bytes read, with isLast if the body is complete.
    body_piece readRest(socket_deadline deadline, std::size_t maxBytes);

    /// As readRest(), for bytes that nobody needs.
    body_piece skipRest(socket_deadline deadline, std::size_t maxBytes);

    /// @returns Whether only the end of the connection ends the body that the last head announced.
    bool isEndedByClose() const { return body == framing::ToClose; }

    /// @returns Whether all that has arrived was read and the connection is open. Behind bytes that
    ///          were not read, its end may wait.
    bool isDrainedAndOpen() const;

    /// @returns Whether a byte of the request was sent, so that the runner may have run it.
    bool mayHaveArrived() const { return bytesSent > 0; }

    /// @returns The connection if another call can use it: the whole request was sent, the whole
    ///          reply was read, and nothing followed it. Otherwise a closed descriptor.
    descriptor takeConnection();

    /// @returns The connection of a call that has sent nothing.
    descriptor takeUnused() { return std::move(connection); }

    /// Resets the connection, which tells the runner to stop.
    void abort();

private:
    /// Sends once, as much as the kernel takes.
    /// @returns As the system call.
    ssize_t sendRest(const request_text &request) const;
    call_fault await(short events, socket_deadline deadline) const;
    call_fault fill(socket_deadline deadline);
    bool hasWholeHead() const;
    bool isHeadTooLong() const;
    body_piece readSized(socket_deadline deadline);
    body_piece readChunk(socket_deadline deadline);
    body_piece readToClose(socket_deadline deadline);
    call_fault readLine(std::string &line, socket_deadline deadline);
    call_fault skipTrailers(socket_deadline deadline);

    enum class framing { None, Sized, Chunked, ToClose };

    descriptor connection;
    const int callerFd;
    const silence_check check;
    std::string buffer; ///< Received and not yet consumed.
    std::size_t bytesSent = 0;
    std::size_t lateBytes = 0; ///< Received after the limit of the step.
    bool isSentWhole = false;
    bool isReplyWhole = false;
    bool keepsAlive = false;
    bool hasEnded = false; ///< The runner closed its side.
    bool wasReset = false; ///< The end of the connection is not the end of an answer.
    framing body = framing::None;
    std::size_t bodyLeft = 0; ///< Of a sized body, or of the current chunk.
    bool isInChunk = false;
};

} // namespace poplarspool::gateway
