#include "operators/toml_reader.h"

#include <algorithm>
#include <numeric>
#include <sstream>
#include <tuple>

namespace poplarspool::operators {

namespace {

constexpr std::size_t maxShownBytes = 60;

std::string shorten(std::string text)
{
    if (text.size() <= maxShownBytes)
        return text;
    return text.substr(0, maxShownBytes) + "…";
}

/// What stands at a node, short enough for a message.
std::string shown(const toml::node &node)
{
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "an array";
    if (const auto *text = node.as_string())
        return '"' + shorten(text->get()) + '"';
    std::ostringstream out;
    node.visit([&out](const auto &value) {
        if constexpr (toml::is_value<decltype(value)>)
            out << value;
    });
    return shorten(out.str());
}

std::string joined(std::string_view path, std::string_view name)
{
    if (path.empty())
        return std::string(name);
    return std::string(path) + '.' + std::string(name);
}

/// The names that may follow `prefix` in one table.
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
    std::string path; ///< Of the outer table in the file.
    const std::vector<bound_key> &keys;
    fault_sink &faults;
};

void refuseUnknown(const toml::key &name, const std::string &prefix, const table_walk &walk)
{
    const std::string nearest = nearestOf(name.str(), namesAfter(prefix, walk.keys));
    std::string message = "unknown key";
    if (!nearest.empty())
        message += ", the nearest known key is " + nearest;
    walk.faults.add(name.source(), joined(walk.path, prefix + std::string(name.str())),
                    std::move(message));
}

/// Finds keys that are declared nowhere, and values that stand where a table belongs.
void checkNames(const toml::table &table, const std::string &prefix, const table_walk &walk)
{
    for (const auto &[name, node] : table) {
        const std::string full = prefix + std::string(name.str());
        const auto isLeaf = [&full](const bound_key &key) { return key.row.key == full; };
        if (std::any_of(walk.keys.begin(), walk.keys.end(), isLeaf))
            continue;
        if (namesAfter(full + '.', walk.keys).empty())
            refuseUnknown(name, prefix, walk);
        else if (const toml::table *inner = node.as_table())
            checkNames(*inner, full + '.', walk);
        else
            read_place{node, joined(walk.path, full), walk.faults}.fail("a table");
    }
}

/// What a dotted name leads to.
struct found_node
{
    const toml::node *node = nullptr; ///< None where the key is missing.
    const toml::node *nearest = nullptr; ///< The innermost node on the way.
};

found_node findNode(const toml::table &table, std::string_view name)
{
    const toml::node *at = &table;
    while (!name.empty()) {
        const std::size_t dot = std::min(name.find('.'), name.size());
        const toml::table *inside = at->as_table();
        const toml::node *next = inside ? inside->get(name.substr(0, dot)) : nullptr;
        if (!next)
            return {nullptr, at};
        at = next;
        name.remove_prefix(std::min(dot + 1, name.size()));
    }
    return {at, at};
}

} // namespace

fault_sink::fault_sink(std::string file) : file(std::move(file)) { }

void fault_sink::add(const toml::source_region &where, const std::string &key, std::string message)
{
    found.push_back({file, where.begin.line, where.begin.column, key, std::move(message)});
}

std::vector<fault> fault_sink::sorted() const
{
    std::vector<fault> faults = found;
    std::stable_sort(faults.begin(), faults.end(), [](const fault &a, const fault &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    return faults;
}

void read_place::fail(std::string_view expected) const
{
    refuse("is " + shown(node) + ", expected " + std::string(expected));
}

void read_place::refuse(std::string message) const
{
    faults.add(node.source(), key, std::move(message));
}

void readBound(const toml::table &table, const std::string &path,
               const std::vector<bound_key> &keys, fault_sink &faults)
{
    checkNames(table, "", {path, keys, faults});
    for (const bound_key &declared : keys) {
        const std::string full = joined(path, declared.row.key);
        const found_node found = findNode(table, declared.row.key);
        if (found.node)
            declared.read({*found.node, full, faults});
        else if (declared.isRequired && found.nearest->is_table())
            faults.add(found.nearest->source(), full,
                       "is missing, expected " + declared.row.bounds);
    }
}

void forEachTable(const read_place &place, std::size_t maxCount,
                  const std::function<void(const toml::table &, const std::string &)> &onTable)
{
    const toml::array *tables = place.node.as_array();
    if (!tables) {
        place.fail("an array of tables");
        return;
    }
    if (tables->size() > maxCount) {
        place.refuse("has " + std::to_string(tables->size()) + " tables, expected at most "
                     + std::to_string(maxCount));
        return;
    }
    for (std::size_t index = 0; index < tables->size(); ++index) {
        const toml::node &node = *tables->get(index);
        const std::string path = place.key + '[' + std::to_string(index) + ']';
        if (const toml::table *table = node.as_table())
            onTable(*table, path);
        else
            read_place{node, path, place.faults}.fail("a table");
    }
}

toml::table parseToml(std::string_view text, fault_sink &faults)
{
    try {
        return toml::parse(text, std::string_view());
    } catch (const toml::parse_error &failure) {
        faults.add(failure.source(), "syntax", std::string(failure.description()));
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

/// Levenshtein's distance, one row at a time.
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

std::string nearestOf(std::string_view word, const std::vector<std::string> &candidates)
{
    const auto nearer = [word](const std::string &a, const std::string &b) {
        return editDistance(word, a) < editDistance(word, b);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(), nearer);
    return best == candidates.end() ? std::string() : *best;
}

} // namespace poplarspool::operators
