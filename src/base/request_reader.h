#pragma once

#include "base/http_text.h"
#include "base/socket.h"
#include "poplarspool/base/memory_budget.h"

#include <atomic>
#include <memory>
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
struct connection_ended
{
    bool timedOut = false;
};

using read_outcome = std::variant<arrived_request, bad_request, connection_ended>;

/// Limits that may be replaced while connections are open.
using replaceable_http_limits = std::atomic<std::shared_ptr<const http_limits>>;

/// Reads the requests of one connection one after the other, with limits on size and time. Between
/// two requests it holds no more memory than the bytes of the next one that it has received.
class request_reader
{
public:
    /// @param limits Each request is read with the limits at its first byte.
    /// @param stopFd Becomes readable when the server stops. Interrupts only the wait between
    ///               requests.
    /// @param buffered Counts the bytes that readers hold between requests; may be null.
    request_reader(int fd, const replaceable_http_limits &limits, int stopFd,
                   gauge *buffered = nullptr);
    ~request_reader();
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    /// @param idleTime Maximum wait for the next request.
    /// @param memory Extended by the request's body. A body that exceeds the budget is not read.
    read_outcome next(milliseconds idleTime, memory_reservation &memory);

private:
    using read_part = std::variant<std::string, bad_request, connection_ended>;

    bool waitForFirstByte(milliseconds idleTime);
    read_outcome readRequest(memory_reservation &memory);
    read_part readHead();
    read_part readBody(const request_head &head, memory_reservation &memory);
    read_part readChunks(memory_reservation &memory);
    read_part readTrailers(std::string body);
    read_part readLine();
    /// Moves `bytes` to the end of `body`: those that are buffered, then those that arrive.
    /// @returns The failure; none on success.
    std::optional<read_part> appendTo(std::string &body, std::size_t bytes);
    /// Receives at most `maxBytes` more bytes.
    /// @returns The failure; none on success.
    std::optional<read_part> fill(std::string &to, std::size_t maxBytes);
    std::optional<read_part> fillBuffer();
    void trimBuffer();
    void countBuffer();

    const int fd;
    const replaceable_http_limits &currentLimits;
    const int stopFd;
    gauge *const buffered;
    std::shared_ptr<const http_limits> limits; ///< Of the current request.
    std::string buffer; ///< Bytes received and not yet consumed; may contain later requests.
    std::size_t countedBytes = 0; ///< Capacity of the buffer that the metric includes.
    bool hasStarted = false; ///< Whether a byte of the current request has arrived.
    socket_deadline deadline;
};

} // namespace poplarspool
