#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace poplarspool::app {

/// `poplarspool serve`: runs one entry instance until SIGTERM or SIGINT, then shuts it down
/// gracefully.
/// @returns 0 after a complete shutdown, 1 if the instance could not start, 2 on invalid arguments
///          or settings.
int serveCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace poplarspool::app
