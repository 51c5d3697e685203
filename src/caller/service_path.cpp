#include "caller/service_path.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace poplarspool::caller {

namespace {

bool isUnreserved(char byte)
{
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool isDigit = byte >= '0' && byte <= '9';
    return isLetter || isDigit || std::string_view("-._~").find(byte) != std::string_view::npos;
}

/// @returns The byte that the text's leading `%XX` encodes; none if that is malformed.
std::optional<char> decodeEscape(std::string_view text)
{
    constexpr std::size_t escapeBytes = 3;
    if (text.size() < escapeBytes)
        return std::nullopt;
    unsigned value = 0;
    const auto [stop, parseError] =
            std::from_chars(text.data() + 1, text.data() + escapeBytes, value, 16);
    if (parseError != std::errc() || stop != text.data() + escapeBytes)
        return std::nullopt;
    return static_cast<char>(value);
}

/// @returns The path with escaped unreserved characters decoded; none if an escape is malformed or
///          encodes a separator or control character.
std::optional<std::string> normalize(std::string_view path)
{
    std::string out;
    out.reserve(path.size());
    for (std::size_t at = 0; at < path.size(); ++at) {
        if (path[at] != '%') {
            out += path[at];
            continue;
        }
        const auto byte = decodeEscape(path.substr(at));
        const bool isForbidden =
                byte && (*byte == '/' || *byte == '\\' || static_cast<unsigned char>(*byte) < ' ');
        if (!byte || isForbidden)
            return std::nullopt;
        if (isUnreserved(*byte))
            out += *byte;
        else
            out += path.substr(at, 3);
        at += 2;
    }
    return out;
}

bool isDotSegment(std::string_view segment)
{
    return segment == "." || segment == "..";
}

/// @param path Starts with a slash.
bool isCanonical(std::string_view path)
{
    if (path.find('\\') != std::string_view::npos)
        return false;
    std::string_view rest = path.substr(1);
    while (!rest.empty()) {
        const std::size_t slash = std::min(rest.find('/'), rest.size());
        const std::string_view segment = rest.substr(0, slash);
        if (segment.empty() || isDotSegment(segment))
            return false;
        rest.remove_prefix(std::min(slash + 1, rest.size()));
    }
    return true;
}

} // namespace

result<service_target> parseServiceTarget(std::string_view target)
{
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    const std::string_view query = target.substr(queryStart);
    const std::string_view rawPath = target.substr(0, queryStart);
    const std::size_t slash = std::min(rawPath.find('/'), rawPath.size());
    const std::string_view name = rawPath.substr(0, slash);
    const bool isName = !name.empty() && name.size() <= config::maxNameBytes
            && std::all_of(name.begin(), name.end(), isUnreserved);
    if (!isName)
        return notRun(error_code::BadRequest, "path: expected /v1/services/NAME/PATH");
    auto path = normalize(rawPath.substr(slash));
    if (!path || (!path->empty() && !isCanonical(*path))) {
        return notRun(error_code::BadRequest,
                      "path: dot segments, empty segments, backslashes, broken escapes and escaped "
                      "separators are not allowed");
    }
    if (path->empty())
        *path = "/";
    return service_target{std::string(name), *path + std::string(query)};
}

} // namespace poplarspool::caller
