#pragma once

#include "base/http_text.h"
#include "base/socket.h"

#include <string>
#include <variant>

namespace poplarspool {

struct arrived_request
{
    http_request request;
    bool keepsAlive = true;
    bool takesChunks = true;
};

/// The connection is over and nothing is owed to the peer.
struct no_request
{
    bool timedOut = false;
};

using reading = std::variant<arrived_request, bad_request, no_request>;

/// Reads the requests of one connection, one after the other, with bounds on size and time.
class request_reader
{
public:
    /// @param stopFd Readable once the server stops; ends only the wait between requests.
    request_reader(int fd, const http_limits &limits, int stopFd);

    /// @param idleTime How long the next request may be awaited.
    reading next(milliseconds idleTime);

private:
    bool awaitFirstByte(milliseconds idleTime);
    reading readRequest();
    std::variant<std::string, bad_request, no_request> readHead();
    std::variant<std::string, bad_request, no_request> readBody(const request_head &head);
    std::variant<std::string, bad_request, no_request> readChunks();
    std::variant<std::string, bad_request, no_request> readLine();
    /// Gets more bytes; none where it succeeded.
    std::optional<std::variant<std::string, bad_request, no_request>> fill();

    const int fd;
    const http_limits limits;
    const int stopFd;
    std::string buffer; ///< Bytes received and not yet used; may hold the next request.
    bool hasBegun = false; ///< A byte of the current request has arrived.
    socket_deadline deadline;
};

} // namespace poplarspool
