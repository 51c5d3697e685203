#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

/// Parsing of JSON from untrusted sources. Values are copied, compared and serialised recursively,
/// so arrays and objects may be nested no deeper than config::maxJsonDepth.
namespace poplarspool {

bool isNestedTooDeep(std::string_view text);

/// @returns A discarded value if the text is not valid JSON or is nested too deeply.
nlohmann::json parseJson(std::string_view text);

/// Like parseJson(), but reports the reason of a failure.
/// @throws nlohmann::json::exception if the text is not valid JSON or is nested too deeply.
nlohmann::json parseJsonOrThrow(std::string_view text);

/// Like parseJson(), but what can't be read doesn't make the rest of the text unreadable: arrays
/// and objects that are nested too deeply, numbers that no double holds, words that JSON lacks and
/// strings that it doesn't allow are replaced by null, and such a key by "?".
/// @param strictDepth Of the numbers, words and strings, only those that are nested deeper than
///                    this are replaced.
/// @returns A discarded value also if the text is cut: brackets and quotes must be closed.
nlohmann::json parseJsonPruned(std::string_view text, std::size_t strictDepth = 0);

} // namespace poplarspool
