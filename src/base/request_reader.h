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
    bool supportsChunks = true;
};

/// The connection has ended and no reply is due.
struct no_request
{
    bool timedOut = false;
};

using reading = std::variant<arrived_request, bad_request, no_request>;

/// Reads the requests of one connection one after the other, with limits on size and time.
class request_reader
{
public:
    /// @param stopFd Becomes readable when the server stops. Interrupts only the wait between
    ///               requests.
    request_reader(int fd, const http_limits &limits, int stopFd);

    /// @param idleTime Maximum wait for the next request.
    reading next(milliseconds idleTime);

private:
    bool waitForFirstByte(milliseconds idleTime);
    reading readRequest();
    std::variant<std::string, bad_request, no_request> readHead();
    std::variant<std::string, bad_request, no_request> readBody(const request_head &head);
    std::variant<std::string, bad_request, no_request> readChunks();
    std::variant<std::string, bad_request, no_request> readLine();
    /// Receives more bytes.
    /// @returns The failure; none on success.
    std::optional<std::variant<std::string, bad_request, no_request>> fill();

    const int fd;
    const http_limits limits;
    const int stopFd;
    std::string buffer; ///< Bytes received and not yet consumed; may contain later requests.
    bool hasStarted = false; ///< Whether a byte of the current request has arrived.
    socket_deadline deadline;
};

} // namespace poplarspool
