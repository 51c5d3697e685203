#include "caller/service_path.h"

#include "poplarspool/config.h"

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

/// @returns The byte that `%XX` at the start of the text stands for.
std::optional<char> unescape(std::string_view text)
{
    constexpr std::size_t escapeBytes = 3;
    if (text.size() < escapeBytes)
        return std::nullopt;
    unsigned value = 0;
    const auto [stop, fault] =
            std::from_chars(text.data() + 1, text.data() + escapeBytes, value, 16);
    if (fault != std::errc() || stop != text.data() + escapeBytes)
        return std::nullopt;
    return static_cast<char>(value);
}

/// @returns The path with escapes of unreserved characters undone; none where an escape is broken
/// or
///          stands for a separator or control character.
std::optional<std::string> normalize(std::string_view path)
{
    std::string out;
    out.reserve(path.size());
    for (std::size_t at = 0; at < path.size(); ++at) {
        if (path[at] != '%') {
            out += path[at];
            continue;
        }
        const auto byte = unescape(path.substr(at));
        const bool isHidden =
                byte && (*byte == '/' || *byte == '\\' || static_cast<unsigned char>(*byte) < ' ');
        if (!byte || isHidden)
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
bool hasOneForm(std::string_view path)
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
    const std::size_t question = std::min(target.find('?'), target.size());
    const std::string_view query = target.substr(question);
    const std::string_view place = target.substr(0, question);
    const std::size_t slash = std::min(place.find('/'), place.size());
    const std::string_view name = place.substr(0, slash);
    const bool isName = !name.empty() && name.size() <= config::maxNameBytes
            && std::all_of(name.begin(), name.end(), isUnreserved);
    if (!isName)
        return notRun(error_code::BadRequest, "path: expected /v1/services/NAME/PATH");
    auto path = normalize(place.substr(slash));
    if (!path || (!path->empty() && !hasOneForm(*path))) {
        return notRun(error_code::BadRequest,
                      "path: dot segments, empty segments, backslashes, broken escapes and escaped "
                      "separators are not allowed");
    }
    if (path->empty())
        *path = "/";
    return service_target{std::string(name), *path + std::string(query)};
}

} // namespace poplarspool::caller
