#include "standin/platform_paths.h"

#include <charconv>

namespace poplarspool::standin {

namespace {

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *digits = text.data() + i + 1;
        const bool isEscape = text[i] == '%' && i + 2 < text.size()
                && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
        decoded += isEscape ? static_cast<char>(value) : text[i];
        i += isEscape ? 2 : 0;
    }
    return decoded;
}

void addPair(std::map<std::string, std::string> &query, std::string_view pair)
{
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos)
        return;
    query[percentDecoded(pair.substr(0, equals))] = percentDecoded(pair.substr(equals + 1));
}

} // namespace

request_target parseTarget(std::string_view raw)
{
    const auto questionMark = raw.find('?');
    request_target decoded;
    decoded.path = percentDecoded(raw.substr(0, questionMark));
    std::string_view rest =
            questionMark == std::string_view::npos ? "" : raw.substr(questionMark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        addPair(decoded.query, rest.substr(0, end));
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return decoded;
}

std::optional<std::string> pathAfter(const request_target &target, std::string_view prefix)
{
    if (!target.path.starts_with(prefix))
        return std::nullopt;
    return target.path.substr(prefix.size());
}

std::optional<std::uint64_t> numberOf(const request_target &target, const std::string &name)
{
    const auto found = target.query.find(name);
    if (found == target.query.end())
        return std::nullopt;
    const std::string &text = found->second;
    std::uint64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace poplarspool::standin
