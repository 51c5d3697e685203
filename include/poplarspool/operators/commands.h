#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace poplarspool::operators {

// The operators' subcommands. Each takes the words after its name and returns the exit status:
// 0 done, 1 could not be done, 2 bad words or faulty files.

int checkCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);
int applyCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);
int statusCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);
int timelineCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);

} // namespace poplarspool::operators
