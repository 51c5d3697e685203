#pragma once

#include "base/http_text.h"
#include "base/socket.h"

#include <string>
#include <string_view>
#include <variant>

namespace poplarspool::gateway {

/// Why a step of a call did not come to its end.
enum class call_fault {
    None,
    CallerGone, ///< The caller closed its connection: nobody waits for the answer any more.
    TimedOut,
    Closed, ///< The runner closed or reset the connection.
    Malformed, ///< What arrived is no reply.
};

std::string_view nameOf(call_fault fault);

/// A piece of a reply's body.
struct body_piece
{
    std::string bytes;
    bool isLast = false; ///< The body is whole.
    call_fault fault = call_fault::None;
};

/// One request to a runner on one connection, which also watches the caller: when the caller
/// leaves, each step ends at once. Without that, a runner would go on computing an answer that
/// nobody will read until its first byte can't be delivered.
class runner_call
{
public:
    /// @param callerFd Of the caller's connection; -1: nobody to watch.
    runner_call(descriptor connection, int callerFd);

    /// Sends the whole request. Ends early, as a success, where the runner has already answered.
    call_fault send(std::string_view request, socket_deadline deadline);

    /// @returns The next final reply's head.
    std::variant<reply_head, call_fault> readHead(socket_deadline deadline);

    /// Reads on in the body that the last head has announced.
    body_piece readBody(socket_deadline deadline);

    /// Reads all that is left of that body, or until it has grown beyond `most` bytes.
    /// @returns All of it, with isLast where it is whole.
    body_piece readRest(socket_deadline deadline, std::size_t most);

    /// @returns Whether a byte of the request has left, so that the runner may have run it.
    bool mayHaveArrived() const { return bytesSent > 0; }

    /// @returns The connection where another call can use it: the whole request was sent, the whole
    ///          reply was read, and nothing came after it.
    descriptor takeConnection();

    /// Resets the connection, which tells the runner to stop.
    void abort();

private:
    call_fault await(short events, socket_deadline deadline) const;
    call_fault fill(socket_deadline deadline);
    bool hasWholeHead() const;
    body_piece readSized(socket_deadline deadline);
    body_piece readChunk(socket_deadline deadline);
    body_piece readToClose(socket_deadline deadline);
    call_fault readLine(std::string &line, socket_deadline deadline);
    call_fault skipTrailers(socket_deadline deadline);

    enum class framing { None, Sized, Chunked, ToClose };

    descriptor connection;
    const int callerFd;
    std::string buffer; ///< Received and not yet used.
    std::size_t bytesSent = 0;
    bool isSentWhole = false;
    bool isReplyWhole = false;
    bool keepsAlive = false;
    bool hasEnded = false; ///< The runner ended its side in order.
    framing body = framing::None;
    std::size_t bodyLeft = 0; ///< Of a sized body, or of the present chunk.
    bool isInChunk = false;
};

} // namespace poplarspool::gateway
