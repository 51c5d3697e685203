#include "operators/command_line.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>
#include <sstream>

namespace poplarspool::operators {

words_or_exit parseWords(cxxopts::Options &options, const std::vector<std::string> &words,
                         std::ostream &out, std::ostream &err)
{
    options.add_options()("h,help", "Print this help");
    std::vector<const char *> arguments{options.program().c_str()};
    for (const std::string &word : words)
        arguments.push_back(word.c_str());
    try {
        cxxopts::ParseResult parsed =
                options.parse(static_cast<int>(arguments.size()), arguments.data());
        if (parsed.count("help") != 0) {
            out << options.help({""});
            return exitDone;
        }
        if (!parsed.unmatched().empty())
            return refuseWords(options, "unknown word: " + parsed.unmatched().front(), err);
        return parsed;
    } catch (const cxxopts::exceptions::exception &failure) {
        return refuseWords(options, failure.what(), err);
    }
}

int refuseWords(const cxxopts::Options &options, const std::string &reason, std::ostream &err)
{
    err << options.program() << ": " << reason << "\n\n" << options.help({""});
    return exitBadWords;
}

std::optional<std::string> readFile(const std::string &path, std::ostream &err)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (in && (in.peek() == std::ifstream::traits_type::eof() || text << in.rdbuf()) && !in.bad())
        return text.str();
    err << path << ": can't be read: " << std::strerror(errno) << '\n';
    return std::nullopt;
}

} // namespace poplarspool::operators
