#include "operators/toml_reader.h"

#include <algorithm>
#include <numeric>
#include <sstream>
#include <tuple>

namespace poplarspool::operators {

namespace {

constexpr std::size_t maxShownBytes = 60;

std::string truncate(std::string text)
{
    if (text.size() <= maxShownBytes)
        return text;
    return text.substr(0, maxShownBytes) + "…";
}

/// @returns The value of a node, short enough for an error message.
std::string describe(const toml::node &node)
{
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "an array";
    if (const auto *text = node.as_string())
        return '"' + truncate(text->get()) + '"';
    std::ostringstream out;
    node.visit([&out](const auto &value) {
        if constexpr (toml::is_value<decltype(value)>)
            out << value;
    });
    return truncate(out.str());
}

std::string joinPath(std::string_view path, std::string_view name)
{
    if (path.empty())
        return std::string(name);
    return std::string(path) + '.' + std::string(name);
}

/// @returns The segments that may follow `prefix` in the declared keys of one table.
std::vector<std::string> namesAfter(const std::string &prefix, const std::vector<bound_key> &keys)
{
    std::vector<std::string> names;
    for (const bound_key &declared : keys) {
        const std::string &name = declared.row.key;
        if (name.compare(0, prefix.size(), prefix) != 0)
            continue;
        std::string next = name.substr(prefix.size());
        next.resize(std::min(next.size(), next.find('.')));
        names.push_back(std::move(next));
    }
    return names;
}

struct table_walk
{
    std::string path; ///< Path of the outer table in the file.
    const std::vector<bound_key> &keys;
    diagnostic_sink &diagnostics;
};

void reportUnknown(const toml::key &name, const std::string &prefix, const table_walk &walk)
{
    const std::string nearest = closestMatch(name.str(), namesAfter(prefix, walk.keys));
    std::string message = "unknown key";
    if (!nearest.empty())
        message += ", the nearest known key is " + nearest;
    walk.diagnostics.add(name.source(), joinPath(walk.path, prefix + std::string(name.str())),
                         std::move(message));
}

/// Reports undeclared keys, and keys that have a value instead of the expected table.
void checkNames(const toml::table &table, const std::string &prefix, const table_walk &walk)
{
    for (const auto &[name, node] : table) {
        const std::string full = prefix + std::string(name.str());
        const auto isLeaf = [&full](const bound_key &key) { return key.row.key == full; };
        if (std::any_of(walk.keys.begin(), walk.keys.end(), isLeaf))
            continue;
        if (namesAfter(full + '.', walk.keys).empty())
            reportUnknown(name, prefix, walk);
        else if (const toml::table *inner = node.as_table())
            checkNames(*inner, full + '.', walk);
        else
            value_location{node, joinPath(walk.path, full), walk.diagnostics}.reportMismatch(
                    "a table");
    }
}

/// Result of the lookup of a dotted name.
struct found_node
{
    const toml::node *node = nullptr; ///< nullptr if the key is missing.
    const toml::node *nearest = nullptr; ///< The innermost existing node on the path.
};

found_node findNode(const toml::table &table, std::string_view name)
{
    const toml::node *current = &table;
    while (!name.empty()) {
        const std::size_t dot = std::min(name.find('.'), name.size());
        const toml::table *parent = current->as_table();
        const toml::node *next = parent ? parent->get(name.substr(0, dot)) : nullptr;
        if (!next)
            return {nullptr, current};
        current = next;
        name.remove_prefix(std::min(dot + 1, name.size()));
    }
    return {current, current};
}

} // namespace

diagnostic_sink::diagnostic_sink(std::string file) : file(std::move(file)) { }

void diagnostic_sink::add(const toml::source_region &region, const std::string &key,
                          std::string message)
{
    entries.push_back({file, region.begin.line, region.begin.column, key, std::move(message)});
}

std::vector<diagnostic> diagnostic_sink::sorted() const
{
    std::vector<diagnostic> diagnostics = entries;
    std::stable_sort(diagnostics.begin(), diagnostics.end(),
                     [](const diagnostic &a, const diagnostic &b) {
                         return std::tie(a.line, a.column) < std::tie(b.line, b.column);
                     });
    return diagnostics;
}

void value_location::reportMismatch(std::string_view expected) const
{
    report("is " + describe(node) + ", expected " + std::string(expected));
}

void value_location::report(std::string message) const
{
    diagnostics.add(node.source(), key, std::move(message));
}

void readBoundKeys(const toml::table &table, const std::string &path,
                   const std::vector<bound_key> &keys, diagnostic_sink &diagnostics)
{
    checkNames(table, "", {path, keys, diagnostics});
    for (const bound_key &declared : keys) {
        const std::string full = joinPath(path, declared.row.key);
        const found_node found = findNode(table, declared.row.key);
        if (found.node)
            declared.read({*found.node, full, diagnostics});
        else if (declared.isRequired && found.nearest->is_table())
            diagnostics.add(found.nearest->source(), full,
                            "is missing, expected " + declared.row.bounds);
    }
}

void forEachTable(const value_location &location, std::size_t maxCount,
                  const std::function<void(const toml::table &, const std::string &)> &onTable)
{
    const toml::array *tables = location.node.as_array();
    if (!tables) {
        location.reportMismatch("an array of tables");
        return;
    }
    if (tables->size() > maxCount) {
        location.report("has " + std::to_string(tables->size()) + " tables, expected at most "
                        + std::to_string(maxCount));
        return;
    }
    for (std::size_t index = 0; index < tables->size(); ++index) {
        const toml::node &node = *tables->get(index);
        const std::string path = location.key + '[' + std::to_string(index) + ']';
        if (const toml::table *table = node.as_table())
            onTable(*table, path);
        else
            value_location{node, path, location.diagnostics}.reportMismatch("a table");
    }
}

toml::table parseToml(std::string_view text, diagnostic_sink &diagnostics)
{
    try {
        return toml::parse(text, std::string_view());
    } catch (const toml::parse_error &failure) {
        diagnostics.add(failure.source(), "syntax", std::string(failure.description()));
        return {};
    }
}

toml::source_region regionOf(const toml::table &root, std::string_view key)
{
    while (!key.empty()) {
        if (const auto found = root.at_path(key))
            return found.node()->source();
        const std::size_t end = key.find_last_of(".[");
        key = key.substr(0, end == std::string_view::npos ? 0 : end);
    }
    return root.source();
}

namespace {

/// Levenshtein distance, computed row by row.
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

} // namespace

std::string closestMatch(std::string_view word, const std::vector<std::string> &candidates)
{
    const auto isCloser = [word](const std::string &a, const std::string &b) {
        return editDistance(word, a) < editDistance(word, b);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(), isCloser);
    return best == candidates.end() ? std::string() : *best;
}

} // namespace poplarspool::operators
