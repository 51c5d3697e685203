#pragma once

#include "base/http_text.h"
#include "base/socket.h"

#include <httplib.h>

namespace poplarspool {

/// Callbacks that receive a reply as it arrives.
struct call_receivers
{
    http_head_receiver onHead;
    http_receiver onPiece;
};

/// One request and its reply on one connection. Uses cpp-httplib with a custom stream, which
/// applies the time limit to the whole call, counts the bytes sent, and validates a reply's head
/// before the library sees it.
class pooled_call : private httplib::ClientImpl
{
public:
    pooled_call(const endpoint &to, descriptor connection, socket_deadline deadline,
                const pollable_flag &stopping);

    result<http_reply> run(const http_request &request, const call_receivers &receivers);

    /// @returns The connection, if another call can reuse it; otherwise a closed descriptor.
    descriptor takeConnection();

private:
    class reply_stream;

    bool create_and_connect_socket(Socket &socket, httplib::Error &failure) override;
    bool process_socket(const Socket &socket,
                        std::function<bool(httplib::Stream &)> callback) override;
    httplib::Request libraryRequestOf(const http_request &request, const call_receivers &receivers);
    bool passHead(const call_receivers &receivers);
    http_reply replyOfHead() const;
    bool isDelimited() const;
    error failure() const;

    descriptor connection;
    const socket_deadline deadline;
    const pollable_flag &stopping;

    // State of the call:
    bool expectsBody = true;
    bool isCancelled = false;
    bool isHeadPassed = false;
    bool isRequestSent = false;
    bool isReusable = false;
    std::size_t bytesSent = 0;
    std::size_t bytesSincePiece = 0; ///< Received since the last piece of the body.
    socket_fault fault = socket_fault::None;
    std::optional<reply_head> head;
};

} // namespace poplarspool
