#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

/// JSON that others have written. Values are copied, compared and written by recursion, so that
/// arrays and objects may not stand in each other deeper than config::maxJsonDepth.
namespace poplarspool {

bool isNestedTooDeep(std::string_view text);

/// @returns A discarded value where the text is not valid JSON, or is nested too deep.
nlohmann::json parseJson(std::string_view text);

/// The same for callers that report why.
/// @throws nlohmann::json::exception
nlohmann::json parseJsonOrThrow(std::string_view text);

/// The same for text of many authors: arrays and objects that stand too deep become null, and all
/// else is kept.
nlohmann::json parseJsonCut(std::string_view text);

} // namespace poplarspool
