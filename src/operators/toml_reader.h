#pragma once

#include "poplarspool/operators/config_files.h"

#include <functional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

/// Reads a TOML table by a list of declared keys. Each key is declared once, with its bounds; the
/// same declaration reads the file and prints the table in docs/SETTINGS.md.
namespace poplarspool::operators {

/// Gathers the faults of one file.
class fault_sink
{
public:
    explicit fault_sink(std::string file);

    void add(const toml::source_region &where, const std::string &key, std::string message);
    bool isEmpty() const { return found.empty(); }
    /// @returns All faults in the order of the file.
    std::vector<fault> sorted() const;

private:
    std::string file;
    std::vector<fault> found;
};

/// One value in a file.
struct read_place
{
    const toml::node &node;
    const std::string &key; ///< Such as "runners[3].zone".
    fault_sink &faults;

    /// Adds the fault "is WHAT IS THERE, expected `expected`".
    void fail(std::string_view expected) const;
    /// Adds a fault with a message of its own.
    void refuse(std::string message) const;
};

/// What may stand at a key, and how it is read.
template <class V>
struct value_rule
{
    std::string bounds; ///< For people: "an integer from 1 to 64".
    std::function<void(const read_place &, V &)> read;
    std::function<std::string(const V &)> show;
};

/// A key as docs/SETTINGS.md shows it.
struct key_row
{
    std::string key;
    std::string unit;
    std::string fallback;
    std::string bounds;
    std::string meaning;
};

/// A declared key of a table that is read into a T. Dots in its name stand for tables in between.
template <class T>
struct key_decl
{
    key_row row;
    bool isRequired = false;
    std::vector<key_row> nested; ///< Keys of the tables in it.
    std::function<void(const read_place &, T &)> read;
};

template <class T>
using table_keys = std::vector<key_decl<T>>;

/// @param member Pointer to member, or a function from `T &` to a reference.
template <class T, class Member, class V>
key_decl<T> optionalKey(std::string name, std::string unit, Member member, value_rule<V> rule,
                        std::string meaning)
{
    T fallback{};
    key_row row{std::move(name), std::move(unit), rule.show(std::invoke(member, fallback)),
                rule.bounds, std::move(meaning)};
    auto read = [member, rule](const read_place &place, T &into) {
        rule.read(place, std::invoke(member, into));
    };
    return {std::move(row), false, {}, std::move(read)};
}

template <class T, class Member, class V>
key_decl<T> requiredKey(std::string name, std::string unit, Member member, value_rule<V> rule,
                        std::string meaning)
{
    key_decl<T> declared = optionalKey<T>(std::move(name), std::move(unit), member, std::move(rule),
                                          std::move(meaning));
    declared.isRequired = true;
    declared.row.fallback = "required";
    return declared;
}

/// @returns The rows of a table's keys, with those of the tables in it.
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

/// A declared key whose target is already known.
struct bound_key
{
    const key_row &row;
    bool isRequired;
    std::function<void(const read_place &)> read;
};

/// Reads a table: unknown keys and missing ones are faults.
/// @param path Of the table in the file; empty for the file itself.
void readBound(const toml::table &table, const std::string &path,
               const std::vector<bound_key> &keys, fault_sink &faults);

template <class T>
void readTable(const toml::table &table, const std::string &path, const table_keys<T> &keys,
               T &into, fault_sink &faults)
{
    std::vector<bound_key> bound;
    for (const key_decl<T> &declared : keys) {
        auto read = [&declared, &into](const read_place &place) { declared.read(place, into); };
        bound.push_back({declared.row, declared.isRequired, std::move(read)});
    }
    readBound(table, path, bound, faults);
}

/// Calls `onTable` for each table of an array of tables.
/// @param onTable Gets the table and its key, such as "runners[3]".
void forEachTable(const read_place &place, std::size_t maxCount,
                  const std::function<void(const toml::table &, const std::string &)> &onTable);

/// An optional key that holds an array of tables.
/// @param member As for optionalKey(), to a vector of U.
template <class T, class Member, class U>
key_decl<T> tablesKey(std::string name, Member member, table_keys<U> keys, std::size_t maxCount,
                      std::string meaning)
{
    key_row row{std::move(name), "", "none", "at most " + std::to_string(maxCount) + " tables",
                std::move(meaning)};
    std::vector<key_row> nested = rowsOf(keys);
    auto read = [member, keys = std::move(keys), maxCount](const read_place &place, T &into) {
        std::vector<U> &elements = std::invoke(member, into);
        elements.clear();
        forEachTable(place, maxCount, [&](const toml::table &table, const std::string &path) {
            readTable(table, path, keys, elements.emplace_back(), place.faults);
        });
    };
    return {std::move(row), false, std::move(nested), std::move(read)};
}

/// @returns The file's tables; a syntax error becomes a fault and gives an empty table.
toml::table parseToml(std::string_view text, fault_sink &faults);

/// @returns Where `key` stands, or the nearest table around it that is there.
toml::source_region regionOf(const toml::table &root, std::string_view key);

/// @returns The candidate with the least edit distance to `word`; empty where there is none.
std::string nearestOf(std::string_view word, const std::vector<std::string> &candidates);

} // namespace poplarspool::operators
