#pragma once

#include "poplarspool/operators/config_files.h"

#include <functional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

/// Reads TOML tables according to lists of declared keys. Each key is declared once, with its
/// bounds; the declaration serves both to read the file and to print the table in docs/SETTINGS.md.
namespace poplarspool::operators {

/// Collects the errors found in one file.
class diagnostic_sink
{
public:
    explicit diagnostic_sink(std::string file);

    void add(const toml::source_region &region, const std::string &key, std::string message);
    bool isEmpty() const { return entries.empty(); }
    /// @returns All errors, ordered by line and column.
    std::vector<diagnostic> sorted() const;

private:
    std::string file;
    std::vector<diagnostic> entries;
};

/// A value in a file, its key, and the sink for errors about it.
struct value_location
{
    const toml::node &node;
    const std::string &key; ///< Path of the key, for example "runners[3].zone".
    diagnostic_sink &diagnostics;

    /// Reports "is VALUE, expected `expected`".
    void reportMismatch(std::string_view expected) const;
    /// Reports an error with this message.
    void report(std::string message) const;
};

/// The valid values of a key, and how they are read and shown.
template <class V>
struct value_rule
{
    std::string bounds; ///< Human-readable, for example "an integer from 1 to 64".
    std::function<void(const value_location &, V &)> read;
    std::function<std::string(const V &)> show;
};

/// The row of a key in docs/SETTINGS.md.
struct key_row
{
    std::string key;
    std::string unit;
    std::string defaultValue;
    std::string bounds;
    std::string description;
};

/// A declared key of a table that is read into a T. A dot in its name separates nested tables.
template <class T>
struct key_decl
{
    key_row row;
    bool isRequired = false;
    std::vector<key_row> nested; ///< Keys of the tables, if the value is an array of tables.
    std::function<void(const value_location &, T &)> read;
};

template <class T>
using table_keys = std::vector<key_decl<T>>;

/// @param member Pointer to member, or a function from `T &` to a reference.
template <class T, class Member, class V>
key_decl<T> optionalKey(std::string name, std::string unit, Member member, value_rule<V> rule,
                        std::string description)
{
    T initial{};
    key_row row{std::move(name), std::move(unit), rule.show(std::invoke(member, initial)),
                rule.bounds, std::move(description)};
    auto read = [member, rule](const value_location &location, T &into) {
        rule.read(location, std::invoke(member, into));
    };
    return {std::move(row), false, {}, std::move(read)};
}

template <class T, class Member, class V>
key_decl<T> requiredKey(std::string name, std::string unit, Member member, value_rule<V> rule,
                        std::string description)
{
    key_decl<T> declared = optionalKey<T>(std::move(name), std::move(unit), member, std::move(rule),
                                          std::move(description));
    declared.isRequired = true;
    declared.row.defaultValue = "required";
    return declared;
}

/// @returns The rows of a table's keys, including those of nested arrays of tables.
template <class T>
std::vector<key_row> rowsOf(const table_keys<T> &keys)
{
    std::vector<key_row> rows;
    for (const key_decl<T> &declared : keys) {
        rows.push_back(declared.row);
        for (key_row row : declared.nested) {
            row.key = declared.row.key + "[]." + row.key;
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

/// A declared key together with the object that it is read into.
struct bound_key
{
    const key_row &row;
    bool isRequired;
    std::function<void(const value_location &)> read;
};

/// Reads a table. Unknown keys and missing required keys are reported as errors.
/// @param path Path of the table in the file; empty for the root table.
void readBoundKeys(const toml::table &table, const std::string &path,
                   const std::vector<bound_key> &keys, diagnostic_sink &diagnostics);

template <class T>
void readTable(const toml::table &table, const std::string &path, const table_keys<T> &keys,
               T &into, diagnostic_sink &diagnostics)
{
    std::vector<bound_key> bound;
    for (const key_decl<T> &declared : keys) {
        auto read = [&declared, &into](const value_location &location) {
            declared.read(location, into);
        };
        bound.push_back({declared.row, declared.isRequired, std::move(read)});
    }
    readBoundKeys(table, path, bound, diagnostics);
}

/// Calls `onTable` for each table of an array of tables.
/// @param onTable Receives the table and its path, for example "runners[3]".
void forEachTable(const value_location &location, std::size_t maxCount,
                  const std::function<void(const toml::table &, const std::string &)> &onTable);

/// An optional key that holds an array of tables.
/// @param member As for optionalKey(); refers to a vector of U.
template <class T, class Member, class U>
key_decl<T> tablesKey(std::string name, Member member, table_keys<U> keys, std::size_t maxCount,
                      std::string description)
{
    key_row row{std::move(name), "", "none", "at most " + std::to_string(maxCount) + " tables",
                std::move(description)};
    std::vector<key_row> nested = rowsOf(keys);
    auto read = [member, keys = std::move(keys), maxCount](const value_location &location,
                                                           T &into) {
        std::vector<U> &elements = std::invoke(member, into);
        elements.clear();
        forEachTable(location, maxCount, [&](const toml::table &table, const std::string &path) {
            readTable(table, path, keys, elements.emplace_back(), location.diagnostics);
        });
    };
    return {std::move(row), false, std::move(nested), std::move(read)};
}

/// @returns The root table; empty after a syntax error, which is reported under the key "syntax".
toml::table parseToml(std::string_view text, diagnostic_sink &diagnostics);

/// @returns The location of `key`, or of the innermost existing table around it.
toml::source_region regionOf(const toml::table &root, std::string_view key);

/// @returns The candidate with the smallest edit distance to `word`; empty without candidates.
std::string closestMatch(std::string_view word, const std::vector<std::string> &candidates);

} // namespace poplarspool::operators
