#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// Text of JSON values as callers get them.
namespace poplarspool::caller {

/// Appends the inside of a JSON string, without its quotes.
/// @param text UTF-8; what isn't is replaced by U+FFFD, so that the answer stays valid JSON.
void appendEscaped(std::string &out, std::string_view text);

/// @returns One line of JSON; what isn't UTF-8 in it is replaced by U+FFFD.
std::string dumpText(const nlohmann::json &value);

/// @returns Text of a caller for an error message, cut where it is long.
std::string excerptOf(std::string_view text);

} // namespace poplarspool::caller
