#pragma once

#include "operators/toml_reader.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

/// Rules for the types of values in settings, inventories and rules.
namespace poplarspool::operators {

/// A text whose length in bytes is within the bounds.
value_rule<std::string> textRule(std::size_t min, std::size_t max);

/// A name that is safe in store keys and log lines: letters, digits, '.', '_' and '-'.
value_rule<std::string> nameRule();

/// A text that error messages never contain.
value_rule<std::string> secretRule(std::size_t min, std::size_t max);

/// SHA-256 in lower-case hex.
value_rule<std::string> sha256Rule();

/// A path that begins with '/'.
value_rule<std::string> pathRule();

value_rule<bool> flagRule();
value_rule<double> realRule(double min, double max);
value_rule<endpoint> endpointRule();

/// @returns The integer; nullopt, after an error that states the bounds, if it is invalid.
std::optional<std::int64_t> readInteger(const value_location &location, std::int64_t min,
                                        std::int64_t max);
std::string integerBounds(std::int64_t min, std::int64_t max);

template <class V>
value_rule<V> integerRule(std::int64_t min, std::int64_t max)
{
    auto read = [min, max](const value_location &location, V &into) {
        if (const auto number = readInteger(location, min, max))
            into = static_cast<V>(*number);
    };
    auto show = [](const V &number) { return std::to_string(number); };
    return {integerBounds(min, max), read, show};
}

/// A duration given in the file as an integer number of `Unit`.
template <class V, class Unit>
value_rule<V> timeRule(Unit min, Unit max)
{
    auto read = [min, max](const value_location &location, V &into) {
        if (const auto number = readInteger(location, min.count(), max.count()))
            into = std::chrono::duration_cast<V>(Unit(*number));
    };
    auto show = [](const V &time) {
        return std::to_string(std::chrono::duration_cast<Unit>(time).count());
    };
    return {integerBounds(min.count(), max.count()), read, show};
}

/// One of several words, each of which stands for a value.
template <class V>
value_rule<V> choiceRule(std::vector<std::pair<std::string, V>> choices)
{
    std::string bounds;
    for (const auto &[word, value] : choices)
        bounds += (bounds.empty() ? "\"" : " or \"") + word + '"';
    auto read = [choices, bounds](const value_location &location, V &into) {
        const auto word = location.node.value_exact<std::string>();
        for (const auto &[name, value] : choices) {
            if (word == name) {
                into = value;
                return;
            }
        }
        location.reportMismatch(bounds);
    };
    auto show = [choices](const V &value) {
        for (const auto &[name, choice] : choices) {
            if (choice == value)
                return '"' + name + '"';
        }
        return std::string("none");
    };
    return {bounds, read, show};
}

/// A text read into a strongly typed id.
template <class Id>
value_rule<Id> idRule(value_rule<std::string> text)
{
    auto read = [rule = text](const value_location &location, Id &into) {
        rule.read(location, into.text);
    };
    auto show = [rule = text](const Id &id) { return rule.show(id.text); };
    return {text.bounds, read, show};
}

/// An array whose elements all follow one rule.
template <class V>
value_rule<std::vector<V>> listRule(value_rule<V> element, std::size_t max)
{
    const std::string bounds =
            "an array of at most " + std::to_string(max) + ", each " + element.bounds;
    auto read = [element, bounds, max](const value_location &location, std::vector<V> &into) {
        const toml::array *values = location.node.as_array();
        if (!values || values->size() > max) {
            location.reportMismatch(bounds);
            return;
        }
        into.clear();
        for (std::size_t index = 0; index < values->size(); ++index) {
            const std::string key = location.key + '[' + std::to_string(index) + ']';
            element.read({*values->get(index), key, location.diagnostics}, into.emplace_back());
        }
    };
    auto show = [](const std::vector<V> &) { return std::string("none"); };
    return {bounds, read, show};
}

} // namespace poplarspool::operators
