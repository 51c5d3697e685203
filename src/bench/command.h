#pragma once

#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

/// Load generator and measurements against a running fleet; produces the figures of
/// docs/BENCHMARKS.md.
namespace poplarspool::bench {

using argument_list = std::vector<std::string>;

// Subcommands. Each takes the arguments after its name and returns the exit status: 0 for success,
// 1 for a failed check or measurement, 2 for invalid arguments.

int loadCommand(const argument_list &arguments);
int pathCommand(const argument_list &arguments);
int idleCommand(const argument_list &arguments);
int slopeCommand(const argument_list &arguments);
int waitCommand(const argument_list &arguments);
int callCommand(const argument_list &arguments);

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

/// Invalid command-line arguments.
struct usage_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Parses the arguments and runs the body, or prints the help if `--help` is given. Prints the
/// error and the help for invalid arguments.
/// @returns The exit status.
int parseAndRun(cxxopts::Options &options, const argument_list &arguments,
                const std::function<int(const cxxopts::ParseResult &)> &body);

/// @throws usage_error
endpoint endpointOption(const cxxopts::ParseResult &parsed, const std::string &name);

/// @throws usage_error
std::vector<endpoint> endpointsOption(const cxxopts::ParseResult &parsed, const std::string &name);

/// Reads an unsigned integer option that is declared as a string: cxxopts' own integer parser does
/// not compile everywhere with -Werror=restrict of g++ 12.
/// @throws usage_error If the value is not an unsigned integer, or is below `min`.
std::uint64_t countOption(const cxxopts::ParseResult &parsed, const std::string &name,
                          std::uint64_t min = 0);

/// @returns The parts between separators, without empty ones.
std::vector<std::string> splitNonEmpty(std::string_view text, char separator);

/// @throws usage_error
double parseNumber(const std::string &text);

} // namespace poplarspool::bench
