#pragma once

#include <string>
#include <vector>

namespace poplarspool::bench {

/// Times the lookup of a route, and a change of one route from the store's text to what another
/// instance has of it, at several sizes of the table; prints key=value lines.
/// @param words None are known; any ends with the status of bad words.
/// @returns The exit status.
int routesBench(const std::vector<std::string> &words);

} // namespace poplarspool::bench
