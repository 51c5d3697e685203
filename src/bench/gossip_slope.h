#pragma once

#include <string>
#include <vector>

namespace poplarspool::bench {

/// What gossip costs a node, and how fast news spread, at several numbers of nodes in one process:
/// one line each, which the slope command reads.
/// @returns Exit status, as of the other subcommands.
int gossipSlope(const std::vector<std::string> &words);

} // namespace poplarspool::bench
