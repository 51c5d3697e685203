#pragma once

#include <string>
#include <vector>

/// Tests that are known to fail because of a fault that isn't fixed yet.
namespace poplarspool::test {

/// @param file One test per line. A line starts with the test's name as the test program prints it,
///             which ends at the first blank.
/// @returns The lines; none if the file doesn't exist.
std::vector<std::string> readKnownRed(const std::string &file);

/// @returns The line of the test; empty if it isn't listed.
std::string lineOf(const std::vector<std::string> &knownRed, const std::string &test);

} // namespace poplarspool::test
