#include "base/http_text.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace poplarspool {

namespace {

constexpr std::string_view lineEnd = "\r\n";

constexpr std::array<std::string_view, 9> hopByHopHeaders{
        "connection",       "content-length", "expect",  "keep-alive",       "te",
        "proxy-connection", "trailer",        "upgrade", "transfer-encoding"};

char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool isTokenChar(char letter)
{
    const bool isLetter = toLower(letter) >= 'a' && toLower(letter) <= 'z';
    const bool isDigit = letter >= '0' && letter <= '9';
    return isLetter || isDigit
            || std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenChar);
}

bool isFieldByte(char byte)
{
    const auto value = static_cast<unsigned char>(byte);
    return value == '\t' || (value >= ' ' && value != 0x7f);
}

bool isPathByte(char byte)
{
    const auto value = static_cast<unsigned char>(byte);
    return value > ' ' && value != 0x7f;
}

/// Removes the next line from the text and returns it; none if it doesn't end with CR LF.
std::optional<std::string_view> takeLine(std::string_view &text)
{
    const std::size_t end = text.find(lineEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + lineEnd.size());
    return line;
}

template <int Base>
std::optional<std::size_t> parseNumber(std::string_view digits)
{
    std::size_t number = 0;
    const char *end = digits.data() + digits.size();
    const auto [stop, fault] = std::from_chars(digits.data(), end, number, Base);
    if (digits.empty() || fault != std::errc{} || stop != end)
        return std::nullopt;
    return number;
}

std::size_t countOf(const http_headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            headers, [&](const auto &header) { return equalsIgnoringCase(header.first, name); }));
}

/// @returns Whether a comma-separated list contains the word.
bool listContains(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), word))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

std::optional<bad_request> parseRequestLine(std::string_view line, request_head &head)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return bad_request{400, "malformed request line"};
    const std::string_view version = line.substr(last + 1);
    head.method = line.substr(0, first);
    head.path = line.substr(first + 1, last - first - 1);
    if (!isToken(head.method) || head.path.front() != '/'
        || !std::ranges::all_of(head.path, isPathByte))
        return bad_request{400, "malformed request line"};
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return bad_request{505, "only HTTP/1.1 and HTTP/1.0 are supported"};
    head.supportsChunks = version == "HTTP/1.1";
    return std::nullopt;
}

std::optional<bad_request> parseHeaderLine(std::string_view line, http_headers &headers)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return bad_request{400, "malformed header"};
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!std::ranges::all_of(value, isFieldByte))
        return bad_request{400, "control character in a header"};
    headers.emplace_back(line.substr(0, colon), value);
    return std::nullopt;
}

/// Parses all headers up to and including the empty line.
std::optional<bad_request> parseHeaders(std::string_view text, http_headers &headers)
{
    while (true) {
        const std::optional<std::string_view> line = takeLine(text);
        if (!line)
            return bad_request{400, "malformed header"};
        if (line->empty())
            return std::nullopt;
        if (auto fault = parseHeaderLine(*line, headers))
            return fault;
    }
}

struct body_framing
{
    bool isChunked = false;
    std::optional<std::size_t> bodyBytes;
};

/// Rejects a message with ambiguous framing, because the two sides could disagree on whether the
/// following bytes belong to its body or to the next message (request smuggling).
std::variant<body_framing, bad_request> framingOf(const http_headers &headers)
{
    const std::size_t lengths = countOf(headers, "content-length");
    const std::size_t codings = countOf(headers, "transfer-encoding");
    if (lengths + codings > 1)
        return bad_request{400, "more than one Content-Length or Transfer-Encoding header"};
    body_framing framing;
    if (codings == 1) {
        if (!equalsIgnoringCase(headerOf(headers, "transfer-encoding"), "chunked"))
            return bad_request{501, "unknown transfer encoding"};
        framing.isChunked = true;
    }
    if (lengths == 1) {
        framing.bodyBytes = parseNumber<10>(headerOf(headers, "content-length"));
        if (!framing.bodyBytes)
            return bad_request{400, "malformed Content-Length"};
    }
    return framing;
}

bool keepsAlive(const http_headers &headers, bool isLatestVersion)
{
    const std::string_view connection = headerOf(headers, "connection");
    return isLatestVersion ? !listContains(connection, "close")
                           : listContains(connection, "keep-alive");
}

struct reason_phrase
{
    int status;
    std::string_view reason;
};

constexpr std::array<reason_phrase, 21> reasonPhrases{{
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {304, "Not Modified"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {412, "Precondition Failed"},
        {413, "Content Too Large"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
}};

std::string_view reasonPhraseOf(int status)
{
    const auto *found = std::ranges::find(reasonPhrases, status, &reason_phrase::status);
    return found == reasonPhrases.end() ? std::string_view() : found->reason;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](char a, char b) { return toLower(a) == toLower(b); });
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append(lineEnd);
}

std::string_view headerOf(const http_headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

http_limits defaultHttpLimits()
{
    return {config::maxHeaderBytes,     config::maxBodyBytes,       config::maxCallerConnections,
            config::requestReadTimeout, config::callerWriteTimeout, config::keepAliveTimeout,
            config::keepAliveRequests};
}

std::variant<request_head, bad_request> parseRequestHead(std::string_view head)
{
    request_head parsed;
    const std::optional<std::string_view> requestLine = takeLine(head);
    if (!requestLine)
        return bad_request{400, "malformed request line"};
    if (auto fault = parseRequestLine(*requestLine, parsed))
        return *fault;
    if (auto fault = parseHeaders(head, parsed.headers))
        return *fault;
    const auto framing = framingOf(parsed.headers);
    if (const auto *fault = std::get_if<bad_request>(&framing))
        return *fault;
    parsed.isChunked = std::get<body_framing>(framing).isChunked;
    parsed.bodyBytes = std::get<body_framing>(framing).bodyBytes.value_or(0);
    if (parsed.isChunked && !parsed.supportsChunks)
        return bad_request{400, "chunked encoding requires HTTP/1.1"};
    parsed.keepsAlive = keepsAlive(parsed.headers, parsed.supportsChunks);
    parsed.expectsContinue = equalsIgnoringCase(headerOf(parsed.headers, "expect"), "100-continue");
    return parsed;
}

std::optional<reply_head> parseReplyHead(std::string_view head)
{
    constexpr std::size_t versionBytes = std::string_view("HTTP/1.1").size();
    constexpr std::size_t statusDigits = 3;
    constexpr std::uint64_t minStatus = 100;
    constexpr std::uint64_t maxStatus = 599;
    const std::optional<std::string_view> line = takeLine(head);
    if (!line || line->size() < versionBytes + 1 + statusDigits)
        return std::nullopt;
    const std::string_view version = line->substr(0, versionBytes);
    const auto status = parseNumber<10>(line->substr(versionBytes + 1, statusDigits));
    const std::string_view reason = line->substr(versionBytes + 1 + statusDigits);
    if ((version != "HTTP/1.1" && version != "HTTP/1.0") || (*line)[versionBytes] != ' ' || !status
        || *status < minStatus || *status > maxStatus || (!reason.empty() && reason.front() != ' '))
        return std::nullopt;
    reply_head parsed;
    parsed.status = static_cast<int>(*status);
    if (parseHeaders(head, parsed.headers))
        return std::nullopt;
    const auto framing = framingOf(parsed.headers);
    if (std::holds_alternative<bad_request>(framing))
        return std::nullopt;
    parsed.isChunked = std::get<body_framing>(framing).isChunked;
    parsed.bodyBytes = std::get<body_framing>(framing).bodyBytes;
    parsed.keepsAlive = keepsAlive(parsed.headers, version == "HTTP/1.1");
    return parsed;
}

std::optional<std::size_t> chunkSizeOf(std::string_view line)
{
    return parseNumber<16>(trimmed(line.substr(0, line.find(';'))));
}

bool mayHaveBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

bool isSafeHeader(std::string_view name, std::string_view value)
{
    return isToken(name) && std::ranges::all_of(value, isFieldByte);
}

bool isHopHeader(std::string_view name)
{
    return std::ranges::any_of(hopByHopHeaders, [name](std::string_view hop) {
        return equalsIgnoringCase(name, hop);
    });
}

std::string replyHeadText(int status, const http_headers &headers, std::string_view contentType,
                          const reply_framing &framing)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonPhraseOf(status)).append(lineEnd);
    for (const auto &[name, value] : headers) {
        const bool isDuplicate = !contentType.empty() && equalsIgnoringCase(name, "content-type");
        if (!isHopHeader(name) && !isDuplicate && isSafeHeader(name, value))
            appendHeader(text, name, value);
    }
    if (!contentType.empty() && isSafeHeader("Content-Type", contentType))
        appendHeader(text, "Content-Type", contentType);
    if (framing.bodyBytes)
        appendHeader(text, "Content-Length", std::to_string(*framing.bodyBytes));
    if (framing.isChunked)
        appendHeader(text, "Transfer-Encoding", "chunked");
    appendHeader(text, "Connection", framing.closes ? "close" : "keep-alive");
    return text.append(lineEnd);
}

std::string encodeChunk(std::string_view piece)
{
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), piece.size(), 16).ptr;
    std::string text(digits.begin(), end);
    text.reserve(text.size() + piece.size() + 2 * lineEnd.size());
    return text.append(lineEnd).append(piece).append(lineEnd);
}

http_reply errorReply(int status, error_code code, verdict ran, std::string_view message)
{
    const nlohmann::json body{
            {"error", {{"code", nameOf(code)}, {"message", message}, {"verdict", nameOf(ran)}}}};
    http_reply reply;
    reply.status = status;
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    reply.contentType = "application/json";
    return reply;
}

} // namespace poplarspool
