#pragma once

#include "poplarspool/base/settings.h"
#include "poplarspool/gateway/gateway_settings.h"
#include "poplarspool/policy/inventory.h"
#include "poplarspool/policy/rules.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplarspool::operators {

/// A syntax or validation error in a configuration file.
struct diagnostic
{
    std::string file;
    std::uint32_t line = 0; ///< 1-based.
    std::uint32_t column = 0; ///< 1-based.
    std::string key; ///< Path of the key, for example "runners[3].zone".
    std::string message; ///< States the value found and the value expected.

    bool operator==(const diagnostic &) const = default;
};

/// @returns `FILE:LINE:COL: KEY: message`.
std::string lineOf(const diagnostic &entry);

/// The parsed value, or all errors found in one pass over the file.
template <class T>
using parse_result = std::variant<T, std::vector<diagnostic>>;

parse_result<settings> parseSettings(const std::string &file, std::string_view text);
parse_result<gateway::gateway_settings> parseGatewaySettings(const std::string &file,
                                                             std::string_view text);
parse_result<policy::inventory> parseInventory(const std::string &file, std::string_view text);
parse_result<policy::rules> parseRules(const std::string &file, std::string_view text);

/// Checks rules against an inventory, for example that each pool named by a rule exists.
/// @returns The errors, located in the rules file; empty if one of the files is itself invalid.
std::vector<diagnostic> crossCheck(const std::string &inventoryFile, std::string_view inventoryText,
                                   const std::string &rulesFile, std::string_view rulesText);

enum class file_kind { Settings, Gateway, Inventory, Rules };

/// @returns The kind of file with the most known top-level keys in `text`.
file_kind detectFileKind(std::string_view text);

} // namespace poplarspool::operators
