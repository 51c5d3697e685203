#pragma once

#include "poplarspool/base/http.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// HTTP/1.1 as text: what a server reads and writes, without sockets.
///
/// The request reader is ours, because the one of cpp-httplib 0.11 can't be bounded or made to pass
/// requests on unchanged: it decodes %xx in header values (so a caller can smuggle a line break
/// into a header that is passed on), unpacks compressed bodies and reads chunked ones without a
/// limit, takes forms apart, applies Range to any reply, and leaves the body of a GET to be read as
/// the next request.
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
    bool takesChunks = true; ///< False for HTTP/1.0.
    bool expectsContinue = false;
};

/// A request that can't be served.
struct bad_request
{
    int status = 400;
    std::string message;
};

/// @param head From the request line up to and with the empty line.
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

/// @param head From the status line up to and with the empty line.
/// @returns None where the reply is malformed.
std::optional<reply_head> parseReplyHead(std::string_view head);

/// @returns The size that a chunk's first line announces; none where it is malformed.
std::optional<std::size_t> chunkSizeOf(std::string_view line);

/// @returns Whether a reply with this status has a body, if only an empty one.
bool mayHaveBody(int status);

/// @returns Whether a header can be sent without changing the message around it.
bool isSafeHeader(std::string_view name, std::string_view value);

/// @returns Whether a header belongs to one connection and not to the message: it is never passed
/// on,
///          because each side frames its own messages.
bool isHopHeader(std::string_view name);

bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// @returns The text without blanks and tabs at its ends.
std::string_view trimmed(std::string_view text);

/// Adds a header's line.
void appendHeader(std::string &text, std::string_view name, std::string_view value);

/// How a reply goes on the wire.
struct reply_framing
{
    bool isChunked = false;
    bool closes = false;
    std::optional<std::size_t> bodyBytes;
};

std::string replyHeadText(int status, const http_headers &headers, std::string_view contentType,
                          const reply_framing &framing);

std::string chunkText(std::string_view piece);

/// @returns A reply in the form that all our errors have.
http_reply errorReply(int status, error_code code, verdict ran, std::string_view message);

} // namespace poplarspool
