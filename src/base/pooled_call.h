#pragma once

#include "base/http_text.h"
#include "base/socket.h"

#include <httplib.h>

namespace poplarspool {

/// What a call hands on while its reply arrives.
struct call_receivers
{
    http_head_receiver onHead;
    http_receiver onPiece;
};

/// One request and its reply on one connection, by cpp-httplib with a stream of ours: it holds the
/// time limit over the whole call, counts what was sent, and gives the library a reply's head only
/// after it was checked.
class pooled_call : private httplib::ClientImpl
{
public:
    pooled_call(const endpoint &to, descriptor connection, socket_deadline deadline,
                const raised_flag &stopping);

    result<http_reply> run(const http_request &request, const call_receivers &receivers);

    /// @returns The connection, where another call can use it.
    descriptor takeConnection();

private:
    class reply_stream;

    bool create_and_connect_socket(Socket &socket, httplib::Error &failure) override;
    bool process_socket(const Socket &socket,
                        std::function<bool(httplib::Stream &)> callback) override;
    httplib::Request libraryRequestOf(const http_request &request, const call_receivers &receivers);
    bool handOnHead(const call_receivers &receivers);
    http_reply replyOfHead() const;
    bool isDelimited() const;
    error failure() const;

    descriptor connection;
    const socket_deadline deadline;
    const raised_flag &stopping;

    // Of the one request:
    bool expectsBody = true;
    bool isCancelled = false;
    bool isHeadHandedOn = false;
    bool isSentWhole = false;
    bool isReusable = false;
    std::size_t bytesSent = 0;
    socket_fault fault = socket_fault::None;
    std::optional<reply_head> head;
};

} // namespace poplarspool
