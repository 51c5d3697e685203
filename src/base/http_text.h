#pragma once

#include "poplarspool/base/http.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Parsing and formatting of HTTP/1.1 messages, without sockets.
///
/// The request parser of cpp-httplib 0.11 is not used because it can't be limited and doesn't
/// preserve requests that are forwarded: it decodes %xx in header values (so that a caller can
/// smuggle a line break into a forwarded header), decompresses bodies and reads chunked ones
/// without a limit, parses forms, applies Range to any reply, and reads the body of a GET as the
/// next request.
namespace poplarspool {

/// The head of a well-formed request, and how its body is framed.
struct request_head
{
    std::string method;
    std::string path;
    http_headers headers;
    std::size_t bodyBytes = 0;
    bool isChunked = false;
    bool keepsAlive = true;
    bool supportsChunks = true; ///< False for HTTP/1.0.
    bool expectsContinue = false;
};

/// Error reply for a request that can't be served.
struct bad_request
{
    int status = 400;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter = {};
};

/// @param head From the request line up to and including the empty line.
std::variant<request_head, bad_request> parseRequestHead(std::string_view head);

/// The head of a well-formed reply, and how its body is framed.
struct reply_head
{
    int status = 0;
    http_headers headers;
    std::optional<std::size_t> bodyBytes;
    bool isChunked = false;
    bool keepsAlive = true;
};

/// @param head From the status line up to and including the empty line.
/// @returns The head; none if it is malformed.
std::optional<reply_head> parseReplyHead(std::string_view head);

/// @returns The size given in the first line of a chunk; none if the line is malformed.
std::optional<std::size_t> chunkSizeOf(std::string_view line);

/// @returns Whether a reply with this status has a body, which may be empty.
bool mayHaveBody(int status);

/// @returns Whether a header can be sent without altering the rest of the message: it contains no
///          line break or other invalid byte.
bool isSafeHeader(std::string_view name, std::string_view value);

/// @returns Whether a header is hop-by-hop or frames the message. Such headers are not forwarded,
///          because each connection has its own framing.
bool isHopHeader(std::string_view name);

bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// @returns The text without leading and trailing blanks and tabs.
std::string_view trimmed(std::string_view text);

/// Appends a header line.
void appendHeader(std::string &text, std::string_view name, std::string_view value);

/// Framing of a reply.
struct reply_framing
{
    bool isChunked = false;
    bool closes = false;
    std::optional<std::size_t> bodyBytes;
};

std::string replyHeadText(int status, const http_headers &headers, std::string_view contentType,
                          const reply_framing &framing);

std::string encodeChunk(std::string_view piece);

/// @returns An error reply in the format shared by all HTTP servers of the product.
http_reply errorReply(int status, error_code code, verdict ran, std::string_view message);

} // namespace poplarspool
