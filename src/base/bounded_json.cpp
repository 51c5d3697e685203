#include "poplarspool/base/bounded_json.h"

#include "poplarspool/base/limits.h"

#include <optional>
#include <string>

namespace poplarspool {

namespace {

using nlohmann::json;

bool isSpace(char byte)
{
    return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r';
}

bool isOpening(char byte)
{
    return byte == '[' || byte == '{';
}

bool isClosing(char byte)
{
    return byte == ']' || byte == '}';
}

/// @returns Whether a number or word ends before this byte.
bool isDelimiter(char byte)
{
    return isSpace(byte) || isOpening(byte) || isClosing(byte) || byte == ',' || byte == ':'
            || byte == '"';
}

/// Tracks the nesting depth of each byte of a JSON text.
class depth_counter
{
public:
    /// @returns The depth after this byte.
    std::size_t advance(char byte)
    {
        if (isInString)
            advanceInString(byte);
        else if (byte == '"')
            isInString = true;
        else if (isOpening(byte))
            ++depth;
        else if (isClosing(byte) && depth > 0)
            --depth;
        return depth;
    }

private:
    void advanceInString(char byte)
    {
        if (isEscaped)
            isEscaped = false;
        else if (byte == '\\')
            isEscaped = true;
        else
            isInString = byte != '"';
    }

    std::size_t depth = 0;
    bool isInString = false;
    bool isEscaped = false;
};

/// Copies a JSON text and replaces what the parser can't read.
class text_repair
{
public:
    text_repair(std::string_view text, std::size_t strictDepth)
        : text(text), strictDepth(strictDepth)
    { }

    /// @returns Nothing if brackets or quotes are not closed in order: the text may be cut, and a
    ///          cut list must not pass for a shorter one.
    std::optional<std::string> run()
    {
        while (at < text.size()) {
            if (!step())
                return std::nullopt;
        }
        return open.empty() ? std::optional(std::move(repaired)) : std::nullopt;
    }

private:
    bool step()
    {
        const char byte = text[at];
        if (byte == '"')
            return addString();
        if (isOpening(byte))
            addOpening(byte);
        else if (isClosing(byte))
            return addClosing(byte);
        else if (isDelimiter(byte))
            add(text.substr(at, 1));
        else
            addWord();
        return true;
    }

    void add(std::string_view piece)
    {
        if (open.size() <= config::maxJsonDepth)
            repaired += piece;
        at += piece.size();
    }

    void addOpening(char byte)
    {
        if (open.size() == config::maxJsonDepth)
            repaired += "null";
        open += byte;
        add(text.substr(at, 1));
    }

    bool addClosing(char byte)
    {
        if (open.empty() || open.back() != (byte == ']' ? '[' : '{'))
            return false;
        add(text.substr(at, 1));
        open.pop_back();
        return true;
    }

    void addWord()
    {
        std::size_t end = at;
        while (end < text.size() && !isDelimiter(text[end]))
            ++end;
        addToken(text.substr(at, end - at), "null");
    }

    bool addString()
    {
        std::size_t end = at + 1;
        while (end < text.size() && text[end] != '"')
            end += text[end] == '\\' ? 2 : 1;
        if (end >= text.size())
            return false;
        const std::string_view token = text.substr(at, end + 1 - at);
        std::size_t next = end + 1;
        while (next < text.size() && isSpace(text[next]))
            ++next;
        const bool isKey = next < text.size() && text[next] == ':';
        addToken(token, isKey ? "\"?\"" : "null");
        return true;
    }

    void addToken(std::string_view token, std::string_view replacement)
    {
        const bool isSkipped = open.size() > config::maxJsonDepth;
        // The parser takes a zero byte for the end of the text.
        const bool isReadable = token.find('\0') == std::string_view::npos && json::accept(token);
        if (isSkipped || open.size() <= strictDepth || isReadable) {
            add(token);
            return;
        }
        repaired += replacement;
        at += token.size();
    }

    const std::string_view text;
    const std::size_t strictDepth;
    std::size_t at = 0;
    std::string open; ///< The brackets that are open.
    std::string repaired;
};

} // namespace

bool isNestedTooDeep(std::string_view text)
{
    depth_counter counter;
    for (const char byte : text) {
        if (counter.advance(byte) > config::maxJsonDepth)
            return true;
    }
    return false;
}

json parseJson(std::string_view text)
{
    return isNestedTooDeep(text) ? json(json::value_t::discarded)
                                 : json::parse(text, nullptr, false);
}

json parseJsonOrThrow(std::string_view text)
{
    constexpr int tooDeepErrorId = 416;
    if (isNestedTooDeep(text))
        throw json::out_of_range::create(
                tooDeepErrorId, "nested deeper than " + std::to_string(config::maxJsonDepth),
                nullptr);
    return json::parse(text);
}

json parseJsonPruned(std::string_view text, std::size_t strictDepth)
{
    json whole = parseJson(text);
    if (!whole.is_discarded())
        return whole;
    const auto repaired = text_repair(text, strictDepth).run();
    return repaired ? json::parse(*repaired, nullptr, false) : json(json::value_t::discarded);
}

} // namespace poplarspool
