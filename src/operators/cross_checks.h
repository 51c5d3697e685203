#pragma once

#include "operators/file_keys.h"

/// Checks that involve several keys of a file, or two files.
namespace poplarspool::operators {

/// Reports duplicates, unknown pools and zones, and keys that don't apply to the kind of the pool.
void checkInventory(const inventory_file &file, const toml::table &root,
                    diagnostic_sink &diagnostics);

/// Reports duplicates, unknown classes and callers, and request rules that can't match.
void checkRules(const policy::rules &ruleSet, const toml::table &root,
                diagnostic_sink &diagnostics);

/// Reports rules that name pools, models or services missing from the inventory.
void checkRulesAgainst(const policy::inventory &fleet, const policy::rules &ruleSet,
                       const toml::table &root, diagnostic_sink &diagnostics);

} // namespace poplarspool::operators
