#pragma once

// The options need no regular expressions, and under AddressSanitizer g++ 12 reports uninitialized
// memory in libstdc++'s <regex>.
#ifndef CXXOPTS_NO_REGEX
#define CXXOPTS_NO_REGEX
#endif
#include <cxxopts.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Shared by the subcommands: argument parsing, file reading and exit statuses.
namespace poplarspool::operators {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitInvalidInput = 2; ///< Invalid arguments or invalid files.

/// The parsed arguments, or the exit status if help was printed or the arguments are invalid.
using arguments_or_exit_code = std::variant<cxxopts::ParseResult, int>;

/// Adds --help and parses the arguments. Prints the help or a usage error.
arguments_or_exit_code parseArguments(cxxopts::Options &options,
                                      const std::vector<std::string> &arguments, std::ostream &out,
                                      std::ostream &err);

/// Prints the reason and the usage.
/// @returns exitInvalidInput.
int reportUsageError(const cxxopts::Options &options, const std::string &reason, std::ostream &err);

/// @returns The content; nullopt, after an error message, if the file can't be read.
std::optional<std::string> readFile(const std::string &path, std::ostream &err);

} // namespace poplarspool::operators
