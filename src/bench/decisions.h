#pragma once

#include <string>
#include <vector>

namespace poplarspool::bench {

/// Times the decisions of the policy library at the size of docs/CAPACITY.md and prints
/// key=value lines.
/// @param words None are known; any ends with the status of bad words.
/// @returns The exit status.
int decisionsBench(const std::vector<std::string> &words);

} // namespace poplarspool::bench
