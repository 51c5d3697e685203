#include "caller/json_text.h"

#include <algorithm>

namespace poplarspool::caller {

namespace {

constexpr std::size_t maxExcerptBytes = 64;

bool needsNoEscape(char byte)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char lastPrintable = 0x7e;
    const auto value = static_cast<unsigned char>(byte);
    return value >= firstPrintable && value <= lastPrintable && byte != '"' && byte != '\\';
}

} // namespace

void appendEscaped(std::string &out, std::string_view text)
{
    // Most tokens are plain ASCII: copying them avoids creating a JSON value per token.
    if (std::all_of(text.begin(), text.end(), needsNoEscape)) {
        out.append(text);
        return;
    }
    const std::string quoted = dumpText(nlohmann::json(text));
    out.append(quoted, 1, quoted.size() - 2);
}

std::string dumpText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string excerptOf(std::string_view text)
{
    std::string out = "'";
    out.append(text.substr(0, maxExcerptBytes));
    if (text.size() > maxExcerptBytes)
        out.append("...");
    out.append("'");
    return out;
}

} // namespace poplarspool::caller
