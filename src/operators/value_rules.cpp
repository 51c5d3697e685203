#include "operators/value_rules.h"
#include "poplarspool/base/limits.h"

#include <algorithm>
#include <iomanip>

namespace poplarspool::operators {

namespace {

std::string byteBounds(std::size_t min, std::size_t max)
{
    return "text of " + std::to_string(min) + " to " + std::to_string(max) + " bytes";
}

bool isNameByte(char byte)
{
    const auto isBetween = [byte](char low, char high) { return byte >= low && byte <= high; };
    return isBetween('a', 'z') || isBetween('A', 'Z') || isBetween('0', '9') || byte == '.'
            || byte == '_' || byte == '-';
}

bool isHexByte(char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f');
}

std::string showText(const std::string &text)
{
    return text.empty() ? "none" : '"' + text + '"';
}

/// A rule for texts that satisfy a predicate.
template <class Predicate>
value_rule<std::string> validatedText(std::string bounds, Predicate isValid)
{
    auto read = [bounds, isValid](const value_location &location, std::string &into) {
        auto text = location.node.value_exact<std::string>();
        if (text && isValid(*text))
            into = std::move(*text);
        else
            location.reportMismatch(bounds);
    };
    return {bounds, read, showText};
}

std::string showReal(double number)
{
    constexpr int digits = 12;
    std::ostringstream out;
    out << std::setprecision(digits) << number;
    return out.str();
}

} // namespace

value_rule<std::string> textRule(std::size_t min, std::size_t max)
{
    return validatedText(byteBounds(min, max), [min, max](const std::string &text) {
        return text.size() >= min && text.size() <= max;
    });
}

value_rule<std::string> nameRule()
{
    const std::string bounds = "a name of 1 to " + std::to_string(config::maxNameBytes)
            + " letters, digits, '.', '_' or '-'";
    return validatedText(bounds, [](const std::string &text) {
        return !text.empty() && text.size() <= config::maxNameBytes
                && std::all_of(text.begin(), text.end(), isNameByte);
    });
}

value_rule<std::string> secretRule(std::size_t min, std::size_t max)
{
    const std::string bounds = byteBounds(min, max);
    auto read = [bounds, min, max](const value_location &location, std::string &into) {
        auto text = location.node.value_exact<std::string>();
        // Error messages are copied to logs and tickets, so they must not contain the secret, not
        // even one that is too short.
        if (!text)
            location.report("is not text, expected " + bounds);
        else if (text->size() < min || text->size() > max)
            location.report("has " + std::to_string(text->size()) + " bytes, expected " + bounds);
        else
            into = std::move(*text);
    };
    return {bounds, read, showText};
}

value_rule<std::string> sha256Rule()
{
    constexpr std::size_t hexBytes = 64;
    return validatedText("a SHA-256 in 64 lower-case hex digits", [](const std::string &text) {
        return text.size() == hexBytes && std::all_of(text.begin(), text.end(), isHexByte);
    });
}

value_rule<std::string> pathRule()
{
    const std::string bounds = "a path that begins with '/'";
    return validatedText(bounds, [](const std::string &text) {
        return !text.empty() && text.front() == '/' && text.size() <= config::maxHeaderBytes;
    });
}

value_rule<bool> flagRule()
{
    auto read = [](const value_location &location, bool &into) {
        if (const auto flag = location.node.value_exact<bool>())
            into = *flag;
        else
            location.reportMismatch("true or false");
    };
    auto show = [](const bool &flag) { return std::string(flag ? "true" : "false"); };
    return {"true or false", read, show};
}

value_rule<double> realRule(double min, double max)
{
    const std::string bounds = "a number from " + showReal(min) + " to " + showReal(max);
    auto read = [bounds, min, max](const value_location &location, double &into) {
        const bool isNumber = location.node.is_number();
        const double number = location.node.value_or(min - 1);
        // Written so that the condition is also false for NaN.
        if (isNumber && number >= min && number <= max)
            into = number;
        else
            location.reportMismatch(bounds);
    };
    return {bounds, read, showReal};
}

value_rule<endpoint> endpointRule()
{
    const std::string bounds = "\"IP:PORT\" with a port from 1 to 65535";
    auto read = [bounds](const value_location &location, endpoint &into) {
        const auto text = location.node.value_exact<std::string>();
        const result<endpoint> parsed = parseEndpoint(text.value_or(""));
        if (succeeded(parsed) && valueOf(parsed).isValid())
            into = valueOf(parsed);
        else
            location.reportMismatch(bounds);
    };
    auto show = [](const endpoint &address) {
        return address.isValid() ? '"' + textOf(address) + '"' : std::string("none");
    };
    return {bounds, read, show};
}

std::optional<std::int64_t> readInteger(const value_location &location, std::int64_t min,
                                        std::int64_t max)
{
    const auto number = location.node.value_exact<std::int64_t>();
    if (number && *number >= min && *number <= max)
        return number;
    location.reportMismatch(integerBounds(min, max));
    return std::nullopt;
}

std::string integerBounds(std::int64_t min, std::int64_t max)
{
    return "an integer from " + std::to_string(min) + " to " + std::to_string(max);
}

} // namespace poplarspool::operators
