#pragma once

#include <string>
#include <vector>

/// Tests that fail for a real fault which is not mended yet.
namespace poplarspool::test {

/// @param file One test a line, named as the runner names it, up to the first blank.
/// @returns The lines; none where there is no such file.
std::vector<std::string> readKnownRed(const std::string &file);

/// @returns The line of that test; empty where it has none.
std::string lineOf(const std::vector<std::string> &knownRed, const std::string &test);

} // namespace poplarspool::test
