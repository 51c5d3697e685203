#include "poplarspool/base/bounded_json.h"

#include "poplarspool/base/limits.h"

#include <string>

namespace poplarspool {

namespace {

using nlohmann::json;

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
        else if (byte == '[' || byte == '{')
            ++depth;
        else if ((byte == ']' || byte == '}') && depth > 0)
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

std::string pruneTooDeep(std::string_view text)
{
    std::string pruned;
    depth_counter counter;
    bool isSkipping = false;
    for (const char byte : text) {
        const bool isTooDeep = counter.advance(byte) > config::maxJsonDepth;
        if (isTooDeep && !isSkipping)
            pruned += "null";
        // The closing byte of a skipped value is already outside it, so it is skipped as well.
        if (!isTooDeep && !isSkipping)
            pruned += byte;
        isSkipping = isTooDeep;
    }
    return pruned;
}

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

json parseJsonPruned(std::string_view text)
{
    if (isNestedTooDeep(text))
        return json::parse(pruneTooDeep(text), nullptr, false);
    return json::parse(text, nullptr, false);
}

} // namespace poplarspool
