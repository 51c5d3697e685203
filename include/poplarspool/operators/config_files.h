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

/// One thing wrong in a file.
struct fault
{
    std::string file;
    std::uint32_t line = 0; ///< From 1.
    std::uint32_t column = 0;
    std::string key; ///< Such as "runners[3].zone".
    std::string message; ///< What is there and what was expected.

    bool operator==(const fault &) const = default;
};

/// @returns `FILE:LINE:COL: KEY: message`.
std::string lineOf(const fault &found);

/// The value, or every fault found in one run.
template <class T>
using checked = std::variant<T, std::vector<fault>>;

checked<settings> parseSettings(const std::string &file, std::string_view text);
checked<gateway::gateway_settings> parseGatewaySettings(const std::string &file,
                                                        std::string_view text);
checked<policy::inventory> parseInventory(const std::string &file, std::string_view text);
checked<policy::rules> parseRules(const std::string &file, std::string_view text);

/// Faults that only show between the two, such as a rule for a pool that isn't there.
std::vector<fault> checkTogether(const std::string &inventoryFile, std::string_view inventoryText,
                                 const std::string &rulesFile, std::string_view rulesText);

enum class file_kind { Settings, Gateway, Inventory, Rules };

/// @returns By the top-level keys that are there.
file_kind guessKind(std::string_view text);

} // namespace poplarspool::operators
