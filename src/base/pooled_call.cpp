#include "base/pooled_call.h"

#include "poplarspool/base/limits.h"

#include <array>
#include <cstring>

namespace poplarspool {

namespace {

constexpr std::size_t receiveBytes = 16 * 1024;
/// Replies with a lower status are interim (1xx) and followed by the final one.
constexpr int firstFinalStatus = 200;
constexpr std::string_view headEnd = "\r\n\r\n";

/// The head that is passed to the library: only a plain status line and the framing. The library
/// takes a malformed length for 0, so that a broken reply would appear complete, and matches the
/// status line with a recursive regular expression, which overflows the stack on a long reason
/// phrase.
std::string sanitisedHeadOf(const reply_head &head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " \r\n";
    if (head.isChunked && mayHaveBody(head.status))
        text += "Transfer-Encoding: chunked\r\n";
    else if (head.bodyBytes || !mayHaveBody(head.status))
        text += "Content-Length: " + std::to_string(mayHaveBody(head.status) ? *head.bodyBytes : 0)
                + "\r\n";
    return text + "\r\n";
}

} // namespace

/// Stream through which the library uses the connection during one call.
class pooled_call::reply_stream : public httplib::Stream
{
public:
    reply_stream(pooled_call &call, int fd) : call(call), fd(fd) { }

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    ssize_t read(char *to, size_t size) override;
    ssize_t write(const char *from, size_t size) override;
    void get_remote_ip_and_port(std::string &, int &) const override { }
    void get_local_ip_and_port(std::string &, int &) const override { }
    socket_t socket() const override { return fd; }

    bool isDrained() const { return position == buffer.size(); }

private:
    bool sendRequest();
    bool readHead();
    bool fill();

    pooled_call &call;
    const int fd;
    std::string request; ///< Buffered, so that it is sent in as few segments as possible.
    std::string buffer;
    std::size_t position = 0;
    bool isHeadDone = false;
};

ssize_t pooled_call::reply_stream::write(const char *from, size_t size)
{
    request.append(from, size);
    return static_cast<ssize_t>(size);
}

ssize_t pooled_call::reply_stream::read(char *to, size_t size)
{
    if (!isHeadDone && (!sendRequest() || !readHead()))
        return -1;
    if (isDrained() && !fill())
        return call.fault == socket_fault::None ? 0 : -1;
    const std::size_t count = std::min(size, buffer.size() - position);
    std::memcpy(to, buffer.data() + position, count);
    position += count;
    return static_cast<ssize_t>(count);
}

/// A server may reply and close the connection before it has read the whole request (too many
/// connections, body too large). If sending fails for that reason, the reply is still read.
bool pooled_call::reply_stream::sendRequest()
{
    const send_result outcome =
            sendAll(fd, request, call.deadline, call.stopping.descriptorNumber());
    call.bytesSent += outcome.bytes;
    call.isRequestSent = outcome.fault == socket_fault::None;
    request.clear();
    request.shrink_to_fit();
    if (outcome.fault == socket_fault::None || outcome.fault == socket_fault::Closed)
        return true;
    call.fault = outcome.fault;
    return false;
}

bool pooled_call::reply_stream::readHead()
{
    while (true) {
        const std::size_t end = buffer.find(headEnd);
        if (std::min(end, buffer.size()) > config::maxReplyHeaderBytes)
            return false;
        if (end == std::string::npos) {
            if (!fill())
                return false;
            continue;
        }
        const std::size_t bytes = end + headEnd.size();
        call.head = parseReplyHead(std::string_view(buffer).substr(0, bytes));
        if (!call.head)
            return false;
        buffer.erase(0, bytes);
        if (call.head->status >= firstFinalStatus)
            break;
    }
    buffer.insert(0, sanitisedHeadOf(*call.head));
    isHeadDone = true;
    return true;
}

/// @returns False at the end of the connection and on an error.
bool pooled_call::reply_stream::fill()
{
    if (isDrained()) {
        buffer.clear();
        position = 0;
    }
    if (call.stopping.isRaised()) {
        call.fault = socket_fault::Interrupted;
        return false;
    }
    // Interim replies, a chunk's size line and trailers may have no end; the library has no bound.
    if (call.bytesSincePiece > config::maxReplyHeaderBytes)
        return false;
    std::array<char, receiveBytes> bytes; // NOLINT: filled before it is read
    const receive_result some = receiveSome(fd, bytes.data(), bytes.size(), call.deadline,
                                            call.stopping.descriptorNumber());
    // After a failed send, the kernel reports a reset as an orderly end.
    if (some.fault != socket_fault::None && !(some.isEnd && call.isRequestSent))
        call.fault = some.fault;
    buffer.append(bytes.data(), some.bytes);
    call.bytesSincePiece += some.bytes;
    return some.fault == socket_fault::None;
}

pooled_call::pooled_call(const endpoint &to, descriptor connection, socket_deadline deadline,
                         const pollable_flag &stopping)
    : ClientImpl(to.host, to.port), connection(std::move(connection)), deadline(deadline),
      stopping(stopping)
{
    set_keep_alive(true);
    set_url_encode(false);
    set_decompress(false);
}

bool pooled_call::create_and_connect_socket(Socket &socket, httplib::Error &)
{
    socket.sock = connection.release();
    return true;
}

bool pooled_call::process_socket(const Socket &socket,
                                 std::function<bool(httplib::Stream &)> callback)
{
    reply_stream stream(*this, socket.sock);
    const bool isComplete = callback(stream);
    // Bytes after the reply would be read as the reply of the next call.
    isReusable = isComplete && isRequestSent && stream.isDrained() && head && head->keepsAlive
            && isDelimited();
    // After a graceful close, the server could take this side for a client that has finished
    // sending and still reads. A reset shows it immediately that the reply is no longer needed.
    if (!isComplete)
        abortOnClose(socket.sock);
    return isComplete;
}

httplib::Request pooled_call::libraryRequestOf(const http_request &request,
                                               const call_receivers &receivers)
{
    httplib::Request converted;
    converted.method = request.method;
    converted.path = request.path;
    converted.body = request.body;
    for (const auto &[name, value] : request.headers) {
        if (!isHopHeader(name))
            converted.headers.emplace(name, value);
    }
    if (!request.contentType.empty() && !converted.has_header("Content-Type"))
        converted.headers.emplace("Content-Type", request.contentType);
    converted.response_handler = [this, &receivers](const httplib::Response &) {
        return passHead(receivers);
    };
    converted.content_receiver = [this, &receivers](const char *piece, size_t size, uint64_t,
                                                    uint64_t) {
        bytesSincePiece = 0;
        isCancelled = !receivers.onPiece(std::string_view(piece, size));
        return !isCancelled;
    };
    return converted;
}

http_reply pooled_call::replyOfHead() const
{
    http_reply reply;
    reply.status = head->status;
    reply.headers = head->headers;
    reply.contentType = headerOf(head->headers, "content-type");
    reply.isDelimited = isDelimited();
    return reply;
}

bool pooled_call::isDelimited() const
{
    return head->isChunked || head->bodyBytes || !mayHaveBody(head->status) || !expectsBody;
}

bool pooled_call::passHead(const call_receivers &receivers)
{
    isHeadPassed = true;
    isCancelled = !receivers.onHead(replyOfHead());
    return !isCancelled;
}

result<http_reply> pooled_call::run(const http_request &request, const call_receivers &receivers)
{
    expectsBody = request.method != "HEAD";
    httplib::Request converted = libraryRequestOf(request, receivers);
    httplib::Response ignored;
    httplib::Error failed = httplib::Error::Success;
    if (!send(converted, ignored, failed) || !head)
        return failure();
    if (!isHeadPassed && !passHead(receivers))
        return failure();
    return replyOfHead();
}

error pooled_call::failure() const
{
    // Only if the kernel accepted no byte of the request, it can't have reached the server.
    const verdict ran = bytesSent == 0 ? verdict::NotRun : verdict::MayHaveRun;
    if (isCancelled)
        return {error_code::Cancelled, "call cancelled by its receiver", ran};
    if (fault == socket_fault::TimedOut)
        return {error_code::TimedOut, "no complete reply within the time limit", ran};
    if (fault == socket_fault::Interrupted)
        return {error_code::Unavailable, "stopped", ran};
    if (bytesSent == 0)
        return {error_code::Unavailable, "connection closed before the request was sent", ran};
    return {error_code::Broken, "reply malformed or truncated", ran};
}

descriptor pooled_call::takeConnection()
{
    const std::lock_guard lock(socket_mutex_);
    if (!isReusable || !socket_.is_open())
        return descriptor();
    return descriptor(std::exchange(socket_.sock, INVALID_SOCKET));
}

} // namespace poplarspool
