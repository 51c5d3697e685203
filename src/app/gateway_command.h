#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace poplarspool::app {

/// `poplarspool gateway`: forwards callers' requests to the runners listed in the platform's store.
/// @returns 0 after a complete shutdown, 1 if the instance could not start, 2 on invalid arguments
///          or settings.
int gatewayCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace poplarspool::app
