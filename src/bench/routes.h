#pragma once

#include <string>
#include <vector>

namespace poplarspool::bench {

/// Measures, for several table sizes, the lookup of a route and the change of one route, from
/// parsing the text of the store to applying the update at another instance. Prints key=value
/// lines.
/// @param arguments Must be empty; otherwise the exit status is that of invalid arguments.
/// @returns The exit status.
int routesCommand(const std::vector<std::string> &arguments);

} // namespace poplarspool::bench
