#include "operators/value_rules.h"

#include <algorithm>
#include <iomanip>

namespace poplarspool::operators {

namespace {

std::string byteBounds(std::size_t least, std::size_t most)
{
    return "text of " + std::to_string(least) + " to " + std::to_string(most) + " bytes";
}

bool isNameByte(char byte)
{
    const auto between = [byte](char low, char high) { return byte >= low && byte <= high; };
    return between('a', 'z') || between('A', 'Z') || between('0', '9') || byte == '.' || byte == '_'
            || byte == '-';
}

bool isHexByte(char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f');
}

std::string showText(const std::string &text)
{
    return text.empty() ? "none" : '"' + text + '"';
}

/// A text rule out of its test.
template <class Test>
value_rule<std::string> testedText(std::string bounds, Test isFine)
{
    auto read = [bounds, isFine](const read_place &place, std::string &into) {
        auto text = place.node.value_exact<std::string>();
        if (text && isFine(*text))
            into = std::move(*text);
        else
            place.fail(bounds);
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

value_rule<std::string> textRule(std::size_t least, std::size_t most)
{
    return testedText(byteBounds(least, most), [least, most](const std::string &text) {
        return text.size() >= least && text.size() <= most;
    });
}

value_rule<std::string> nameRule()
{
    const std::string bounds = "a name of 1 to " + std::to_string(config::maxNameBytes)
            + " letters, digits, '.', '_' or '-'";
    return testedText(bounds, [](const std::string &text) {
        return !text.empty() && text.size() <= config::maxNameBytes
                && std::all_of(text.begin(), text.end(), isNameByte);
    });
}

value_rule<std::string> secretRule(std::size_t least, std::size_t most)
{
    const std::string bounds = byteBounds(least, most);
    auto read = [bounds, least, most](const read_place &place, std::string &into) {
        auto text = place.node.value_exact<std::string>();
        // Faults end in logs and tickets: a secret that is too short must not show there.
        if (!text)
            place.refuse("is not text, expected " + bounds);
        else if (text->size() < least || text->size() > most)
            place.refuse("has " + std::to_string(text->size()) + " bytes, expected " + bounds);
        else
            into = std::move(*text);
    };
    return {bounds, read, showText};
}

value_rule<std::string> sha256Rule()
{
    constexpr std::size_t hexBytes = 64;
    return testedText("a SHA-256 in 64 lower-case hex digits", [](const std::string &text) {
        return text.size() == hexBytes && std::all_of(text.begin(), text.end(), isHexByte);
    });
}

value_rule<std::string> pathRule()
{
    const std::string bounds = "a path that begins with '/'";
    return testedText(bounds, [](const std::string &text) {
        return !text.empty() && text.front() == '/' && text.size() <= config::maxHeaderBytes;
    });
}

value_rule<bool> flagRule()
{
    auto read = [](const read_place &place, bool &into) {
        if (const auto flag = place.node.value_exact<bool>())
            into = *flag;
        else
            place.fail("true or false");
    };
    auto show = [](const bool &flag) { return std::string(flag ? "true" : "false"); };
    return {"true or false", read, show};
}

value_rule<double> realRule(double least, double most)
{
    const std::string bounds = "a number from " + showReal(least) + " to " + showReal(most);
    auto read = [bounds, least, most](const read_place &place, double &into) {
        const bool isNumber = place.node.is_number();
        const double number = place.node.value_or(least - 1);
        // Written so that a NaN fails too.
        if (isNumber && number >= least && number <= most)
            into = number;
        else
            place.fail(bounds);
    };
    return {bounds, read, showReal};
}

value_rule<endpoint> endpointRule()
{
    const std::string bounds = "\"IP:PORT\" with a port from 1 to 65535";
    auto read = [bounds](const read_place &place, endpoint &into) {
        const auto text = place.node.value_exact<std::string>();
        const result<endpoint> parsed = parseEndpoint(text.value_or(""));
        if (succeeded(parsed) && valueOf(parsed).isValid())
            into = valueOf(parsed);
        else
            place.fail(bounds);
    };
    auto show = [](const endpoint &address) {
        return address.isValid() ? '"' + textOf(address) + '"' : std::string("none");
    };
    return {bounds, read, show};
}

std::optional<std::int64_t> readInteger(const read_place &place, std::int64_t least,
                                        std::int64_t most)
{
    const auto number = place.node.value_exact<std::int64_t>();
    if (number && *number >= least && *number <= most)
        return number;
    place.fail(integerBounds(least, most));
    return std::nullopt;
}

std::string integerBounds(std::int64_t least, std::int64_t most)
{
    return "an integer from " + std::to_string(least) + " to " + std::to_string(most);
}

} // namespace poplarspool::operators
