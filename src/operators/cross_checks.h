#pragma once

#include "operators/file_keys.h"

/// Faults that only show between the keys of a file, or between two files.
namespace poplarspool::operators {

/// Duplicates, unknown pools and zones, keys that don't fit the pool's kind.
void checkInventory(const inventory_file &read, const toml::table &root, fault_sink &faults);

/// Duplicates, unknown classes and callers, request rules that can't match.
void checkRules(const policy::rules &book, const toml::table &root, fault_sink &faults);

/// Rules that name pools, models or services which the inventory doesn't have.
void checkRulesFor(const policy::inventory &fleet, const policy::rules &book,
                   const toml::table &root, fault_sink &faults);

} // namespace poplarspool::operators
