#include "poplarspool/base/bounded_json.h"

#include "poplarspool/config.h"

#include <string>

namespace poplarspool {

namespace {

using nlohmann::json;

/// Walks over the text of a value and says how deep each byte stands.
class depth_counter
{
public:
    /// @returns The depth after this byte.
    std::size_t take(char byte)
    {
        if (isInString)
            takeOfString(byte);
        else if (byte == '"')
            isInString = true;
        else if (byte == '[' || byte == '{')
            ++depth;
        else if ((byte == ']' || byte == '}') && depth > 0)
            --depth;
        return depth;
    }

private:
    void takeOfString(char byte)
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

std::string withoutTooDeep(std::string_view text)
{
    std::string kept;
    depth_counter counter;
    bool isLeftOut = false;
    for (const char byte : text) {
        const bool isTooDeep = counter.take(byte) > config::maxJsonDepth;
        if (isTooDeep && !isLeftOut)
            kept += "null";
        // The byte that ends what is left out stands outside again.
        if (!isTooDeep && !isLeftOut)
            kept += byte;
        isLeftOut = isTooDeep;
    }
    return kept;
}

} // namespace

bool isNestedTooDeep(std::string_view text)
{
    depth_counter counter;
    for (const char byte : text) {
        if (counter.take(byte) > config::maxJsonDepth)
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
    constexpr int tooDeep = 416;
    if (isNestedTooDeep(text))
        throw json::out_of_range::create(
                tooDeep, "nested deeper than " + std::to_string(config::maxJsonDepth), nullptr);
    return json::parse(text);
}

json parseJsonCut(std::string_view text)
{
    if (isNestedTooDeep(text))
        return json::parse(withoutTooDeep(text), nullptr, false);
    return json::parse(text, nullptr, false);
}

} // namespace poplarspool
