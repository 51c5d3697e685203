#pragma once

#include "base/socket.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"

#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::soak {

/// A socket that listens at the address; not open if that is in use.
descriptor listenAt(const endpoint &at);

struct message_head
{
    std::string firstLine;
    http_headers headers;

    /// Of a reply; 0 of a request.
    int status() const;
};

/// One side of an HTTP/1.1 connection. It is apart from the gateway's own reader, so that a fault
/// of that one can't hide itself.
class connection
{
public:
    explicit connection(descriptor socket) : socket(std::move(socket)) { }

    bool isOpen() const { return socket.isOpen(); }
    int descriptorNumber() const { return socket.get(); }
    void close() { socket.reset(); }
    /// Closes with a reset.
    void abort();
    bool send(std::string_view bytes, socket_deadline deadline);
    /// @returns None if the connection ends before the head is complete.
    std::optional<message_head> receiveHead(socket_deadline deadline);
    /// Appends what arrives to `buffered`.
    /// @returns False at the end of the connection and of the time.
    bool receiveMore(socket_deadline deadline);
    /// @returns Whether the other side has closed in an orderly way.
    bool isEnded() const { return hasEnded; }
    /// Removes that many bytes of `buffered`, which has them.
    std::string take(std::size_t bytes);

    std::string buffered;

private:
    descriptor socket;
    bool hasEnded = false;
};

} // namespace poplarspool::soak
