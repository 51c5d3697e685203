#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace poplarspool::app {

/// `poplarspool gateway`: passes callers' requests on to the runners that the platform lists.
int gatewayCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);

} // namespace poplarspool::app
