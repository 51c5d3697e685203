#pragma once

#include <string>
#include <vector>

namespace poplarspool::bench {

/// Measures the cost of gossip for a node and how fast changes spread, for several numbers of nodes
/// in one process. Prints a line for each, as input for the slope command.
/// @returns The exit status, as of the other subcommands.
int gossipCommand(const std::vector<std::string> &arguments);

} // namespace poplarspool::bench
