#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace poplarspool::operators {

// Operator subcommands. Each takes the command line arguments after its name and returns the exit
// status: 0 success, 1 failure, 2 invalid arguments or invalid files.

int checkCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);
int applyCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);
int statusCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);
int timelineCommand(const std::vector<std::string> &arguments, std::ostream &out,
                    std::ostream &err);

} // namespace poplarspool::operators
