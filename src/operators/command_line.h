#pragma once

// Options need no regular expressions, and g++ 12 takes libstdc++'s for uninitialized memory under
// AddressSanitizer.
#ifndef CXXOPTS_NO_REGEX
#define CXXOPTS_NO_REGEX
#endif
#include <cxxopts.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the subcommands share: words, files, exit statuses.
namespace poplarspool::operators {

inline constexpr int exitDone = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitBadWords = 2;

/// The parsed words, or the status to exit with: help was asked for, or a word is unknown.
using words_or_exit = std::variant<cxxopts::ParseResult, int>;

/// Adds --help, parses, and prints help or what is wrong with the words.
words_or_exit parseWords(cxxopts::Options &options, const std::vector<std::string> &words,
                         std::ostream &out, std::ostream &err);

/// Says what is wrong with the words, and how they go.
int refuseWords(const cxxopts::Options &options, const std::string &reason, std::ostream &err);

/// @returns None where the file can't be read; says so.
std::optional<std::string> readFile(const std::string &path, std::ostream &err);

} // namespace poplarspool::operators
