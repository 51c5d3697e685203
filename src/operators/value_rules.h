#pragma once

#include "operators/toml_reader.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/config.h"

#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

/// The kinds of values that stand in the product's files.
namespace poplarspool::operators {

/// Any text of that many bytes.
value_rule<std::string> textRule(std::size_t least, std::size_t most);

/// A name that is safe in store keys and log lines: letters, digits, '.', '_' and '-'.
value_rule<std::string> nameRule();

/// A text that no message shows.
value_rule<std::string> secretRule(std::size_t least, std::size_t most);

/// SHA-256 in lower-case hex.
value_rule<std::string> sha256Rule();

/// A path that begins with '/'.
value_rule<std::string> pathRule();

value_rule<bool> flagRule();
value_rule<double> realRule(double least, double most);
value_rule<endpoint> endpointRule();

/// @returns The integer, or none after a fault that names the bounds.
std::optional<std::int64_t> readInteger(const read_place &place, std::int64_t least,
                                        std::int64_t most);
std::string integerBounds(std::int64_t least, std::int64_t most);

template <class V>
value_rule<V> integerRule(std::int64_t least, std::int64_t most)
{
    auto read = [least, most](const read_place &place, V &into) {
        if (const auto number = readInteger(place, least, most))
            into = static_cast<V>(*number);
    };
    auto show = [](const V &number) { return std::to_string(number); };
    return {integerBounds(least, most), read, show};
}

/// A time that the file gives as a whole number of `Unit`.
template <class V, class Unit>
value_rule<V> timeRule(Unit least, Unit most)
{
    auto read = [least, most](const read_place &place, V &into) {
        if (const auto number = readInteger(place, least.count(), most.count()))
            into = std::chrono::duration_cast<V>(Unit(*number));
    };
    auto show = [](const V &time) {
        return std::to_string(std::chrono::duration_cast<Unit>(time).count());
    };
    return {integerBounds(least.count(), most.count()), read, show};
}

/// One of a few words, each for a value.
template <class V>
value_rule<V> choiceRule(std::vector<std::pair<std::string, V>> choices)
{
    std::string bounds;
    for (const auto &[word, value] : choices)
        bounds += (bounds.empty() ? "\"" : " or \"") + word + '"';
    auto read = [choices, bounds](const read_place &place, V &into) {
        const auto word = place.node.value_exact<std::string>();
        for (const auto &[name, value] : choices) {
            if (word == name) {
                into = value;
                return;
            }
        }
        place.fail(bounds);
    };
    auto show = [choices](const V &value) {
        for (const auto &[name, chosen] : choices) {
            if (chosen == value)
                return '"' + name + '"';
        }
        return std::string("none");
    };
    return {bounds, read, show};
}

/// The same text as an id that can't be mixed up with others.
template <class Id>
value_rule<Id> idRule(value_rule<std::string> text)
{
    auto read = [rule = text](const read_place &place, Id &into) { rule.read(place, into.text); };
    auto show = [rule = text](const Id &id) { return rule.show(id.text); };
    return {text.bounds, read, show};
}

/// An array whose elements keep to one rule.
template <class V>
value_rule<std::vector<V>> listRule(value_rule<V> element, std::size_t most)
{
    const std::string bounds =
            "an array of at most " + std::to_string(most) + ", each " + element.bounds;
    auto read = [element, bounds, most](const read_place &place, std::vector<V> &into) {
        const toml::array *values = place.node.as_array();
        if (!values || values->size() > most) {
            place.fail(bounds);
            return;
        }
        into.clear();
        for (std::size_t index = 0; index < values->size(); ++index) {
            const std::string key = place.key + '[' + std::to_string(index) + ']';
            element.read({*values->get(index), key, place.faults}, into.emplace_back());
        }
    };
    auto show = [](const std::vector<V> &) { return std::string("none"); };
    return {bounds, read, show};
}

} // namespace poplarspool::operators
