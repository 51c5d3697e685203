#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// JSON text in replies to callers.
namespace poplarspool::caller {

/// Appends the text escaped as the content of a JSON string, without quotes.
/// @param text UTF-8; invalid sequences are replaced by U+FFFD, so that the reply stays valid JSON.
void appendEscaped(std::string &out, std::string_view text);

/// @returns The value as one line of JSON; invalid UTF-8 is replaced by U+FFFD.
std::string dumpText(const nlohmann::json &value);

/// @returns The text in single quotes for an error message, truncated if it is long.
std::string excerptOf(std::string_view text);

} // namespace poplarspool::caller
