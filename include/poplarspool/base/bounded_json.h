#pragma once

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

/// Like parseJson(), but replaces arrays and objects that are nested too deeply by null, so that
/// one author's part of a text doesn't make the parts of others unreadable.
nlohmann::json parseJsonPruned(std::string_view text);

} // namespace poplarspool
