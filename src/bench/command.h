#pragma once

#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

/// Load and experiments against a running fleet; the tool behind docs/BENCHMARKS.md.
namespace poplarspool::bench {

using words = std::vector<std::string>;

// Subcommands: each takes the words after its name and returns the exit status: 0 done and nothing
// wrong, 1 something was wrong or could not be measured, 2 bad words.

int loadCommand(const words &arguments);
int pathCommand(const words &arguments);
int idleCommand(const words &arguments);
int slopeCommand(const words &arguments);
int waitCommand(const words &arguments);
int callCommand(const words &arguments);

inline constexpr int exitDone = 0;
inline constexpr int exitWrong = 1;
inline constexpr int exitUsage = 2;

/// Bad words on the command line.
struct usage_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Parses the words, prints the help where asked for, and runs the body; bad words end with usage.
int runParsed(cxxopts::Options &options, const words &arguments,
              const std::function<int(const cxxopts::ParseResult &)> &body);

/// @throws usage_error
endpoint endpointOption(const cxxopts::ParseResult &parsed, const std::string &name);

/// @throws usage_error
std::vector<endpoint> endpointsOption(const cxxopts::ParseResult &parsed, const std::string &name);

/// @returns A count that was given as text: cxxopts' own integers don't pass -Werror=restrict of
///          g++ 12 everywhere.
/// @throws usage_error
std::uint64_t countOption(const cxxopts::ParseResult &parsed, const std::string &name,
                          std::uint64_t least = 0);

/// @returns The parts between separators; empty ones are left out.
std::vector<std::string> partsOf(std::string_view text, char separator);

/// @throws usage_error
double numberIn(const std::string &text);

} // namespace poplarspool::bench
