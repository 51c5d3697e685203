#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Values that another writer may leave in an entry of the store, as JSON text.
namespace poplarspool::adapter::test {

inline std::string nestedArrays(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

inline std::string nestedObjects(std::size_t levels)
{
    std::string text;
    for (std::size_t i = 0; i < levels; ++i)
        text += R"({"a":)";
    return text + "1" + std::string(levels, '}');
}

inline std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

/// Replaces each `$` of the text by the value.
inline std::string filled(std::string_view text, const std::string &value)
{
    std::string result;
    for (const char byte : text) {
        if (byte == '$')
            result += value;
        else
            result += byte;
    }
    return result;
}

/// Numbers and words that no double holds, or that JSON lacks.
inline std::vector<std::string> unreadableNumbers()
{
    return {"1e400",
            "-1e400",
            "1e999",
            std::string(401, '9'),
            "-" + std::string(401, '9'),
            std::string(100'000, '7'),
            "Infinity",
            "-Infinity",
            "NaN",
            "nan",
            "undefined",
            "0x1F",
            "+1",
            "01",
            ".5",
            "1.",
            std::string("43\0s", 4)};
}

/// Strings with bytes or escapes that JSON does not allow.
inline std::vector<std::string> unreadableStrings()
{
    return {quoted("\xff"),
            quoted("a\xc3"),
            quoted("\xed\xa0\x80"),
            quoted("\xf8\x88\x80\x80\x80"),
            quoted("\xc0\xaf"),
            quoted(R"(\ud800)"),
            quoted(R"(a\udc00b)"),
            quoted(R"(\ud800\ud800)"),
            quoted(R"(\x41)"),
            quoted(R"(\u12g4)"),
            quoted(std::string(1, '\x01')),
            quoted("a\nb"),
            quoted(std::string(1, '\0'))};
}

/// Numbers and texts that no port or count holds, within what JSON allows.
inline std::vector<std::string> numbersOutOfRange()
{
    return {"-0",
            "0",
            "-1",
            "65536",
            "1e20",
            "1e-400",
            "-1.5",
            "18446744073709551616",
            "-9223372036854775809",
            quoted("127.0.0.1:0"),
            quoted("127.0.0.1:-1"),
            quoted("127.0.0.1:65536"),
            quoted("127.0.0.1:99999999999999999999"),
            quoted("127.0.0.1:"),
            quoted(":80"),
            quoted(R"(127.0.0.1\u0000:80)")};
}

inline std::vector<std::string> wrongTypes()
{
    return {"null",      "true", "7",     "-7",   "1.5", quoted(""),
            quoted("x"), "[]",   "[[1]]", "[{}]", "{}",  R"({"a":null})"};
}

inline std::vector<std::string> nestedValues()
{
    return {nestedArrays(10),       nestedArrays(64),
            nestedArrays(1000),     nestedArrays(400'000),
            nestedObjects(10),      nestedObjects(1000),
            nestedObjects(120'000), "[" + nestedArrays(1000) + ",1e999]"};
}

inline std::vector<std::string> oddValues()
{
    std::vector<std::string> all;
    for (const auto &some : {unreadableNumbers(), unreadableStrings(), numbersOutOfRange(),
                             wrongTypes(), nestedValues()})
        all.insert(all.end(), some.begin(), some.end());
    return all;
}

} // namespace poplarspool::adapter::test
