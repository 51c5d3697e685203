#pragma once

#include "operators/toml_reader.h"
#include "poplarspool/base/settings.h"
#include "poplarspool/gateway/gateway_settings.h"
#include "poplarspool/policy/inventory.h"
#include "poplarspool/policy/rules.h"

#include <vector>

/// The declared keys of the four kinds of files.
namespace poplarspool::operators {

/// The content of an inventory file. The runners in `fleet` inherit the defaults of their pools.
struct inventory_file
{
    policy::inventory fleet;
    /// The tables `runner_defaults`, at most one per pool.
    std::vector<policy::runner_spec> runnerDefaults;
};

const table_keys<settings> &settingsKeys();
const table_keys<gateway::gateway_settings> &gatewayKeys();
const table_keys<inventory_file> &inventoryKeys();
const table_keys<policy::rules> &rulesKeys();

std::vector<key_row> rowsOfKind(file_kind kind);

std::string_view nameOf(file_kind kind);

} // namespace poplarspool::operators
