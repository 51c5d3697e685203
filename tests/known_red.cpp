#include "known_red.h"

#include <fstream>

namespace poplarspool::test {

std::vector<std::string> readKnownRed(const std::string &file)
{
    std::vector<std::string> lines;
    std::ifstream text(file);
    for (std::string line; std::getline(text, line);) {
        if (!line.empty())
            lines.push_back(line);
    }
    return lines;
}

std::string lineOf(const std::vector<std::string> &knownRed, const std::string &test)
{
    for (const std::string &line : knownRed) {
        if (line.substr(0, line.find(' ')) == test)
            return line;
    }
    return {};
}

} // namespace poplarspool::test
