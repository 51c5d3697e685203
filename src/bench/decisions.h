#pragma once

#include <string>
#include <vector>

namespace poplarspool::bench {

/// Measures how long the decisions of the policy library take at the fleet size of
/// docs/CAPACITY.md; prints key=value lines.
/// @param arguments Must be empty; otherwise the exit status is that of invalid arguments.
/// @returns The exit status.
int decisionsCommand(const std::vector<std::string> &arguments);

} // namespace poplarspool::bench
