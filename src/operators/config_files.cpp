#include "poplarspool/operators/config_files.h"

#include "operators/cross_checks.h"
#include "operators/file_keys.h"

#include <algorithm>
#include <array>

namespace poplarspool::operators {

namespace {

bool isKnown(const std::vector<key_row> &rows, std::string_view name)
{
    return std::any_of(rows.begin(), rows.end(), [name](const key_row &row) {
        const std::string_view key = row.key;
        return key.substr(0, key.find_first_of(".[")) == name;
    });
}

std::size_t countKnown(const toml::table &root, file_kind kind)
{
    const std::vector<key_row> rows = rowsOfKind(kind);
    std::size_t known = 0;
    for (const auto &[name, node] : root)
        known += isKnown(rows, name.str()) ? 1 : 0;
    return known;
}

} // namespace

std::string lineOf(const diagnostic &entry)
{
    return entry.file + ':' + std::to_string(entry.line) + ':' + std::to_string(entry.column) + ": "
            + entry.key + ": " + entry.message;
}

std::string_view nameOf(file_kind kind)
{
    switch (kind) {
    case file_kind::Settings:
        return "settings";
    case file_kind::Gateway:
        return "gateway settings";
    case file_kind::Inventory:
        return "inventory";
    case file_kind::Rules:
        return "rules";
    }
    return "";
}

std::vector<key_row> rowsOfKind(file_kind kind)
{
    switch (kind) {
    case file_kind::Settings:
        return rowsOf(settingsKeys());
    case file_kind::Gateway:
        return rowsOf(gatewayKeys());
    case file_kind::Inventory:
        return rowsOf(inventoryKeys());
    case file_kind::Rules:
        return rowsOf(rulesKeys());
    }
    return {};
}

file_kind detectFileKind(std::string_view text)
{
    diagnostic_sink ignored("");
    const toml::table root = parseToml(text, ignored);
    file_kind best = file_kind::Settings;
    for (const file_kind kind : {file_kind::Gateway, file_kind::Inventory, file_kind::Rules}) {
        if (countKnown(root, kind) > countKnown(root, best))
            best = kind;
    }
    return best;
}

std::vector<diagnostic> crossCheck(const std::string &inventoryFile, std::string_view inventoryText,
                                   const std::string &rulesFile, std::string_view rulesText)
{
    const parse_result<policy::inventory> fleet = parseInventory(inventoryFile, inventoryText);
    const parse_result<policy::rules> ruleSet = parseRules(rulesFile, rulesText);
    if (!std::holds_alternative<policy::inventory>(fleet)
        || !std::holds_alternative<policy::rules>(ruleSet))
        return {};
    diagnostic_sink diagnostics(rulesFile);
    const toml::table root = parseToml(rulesText, diagnostics);
    checkRulesAgainst(std::get<policy::inventory>(fleet), std::get<policy::rules>(ruleSet), root,
                      diagnostics);
    return diagnostics.sorted();
}

} // namespace poplarspool::operators
