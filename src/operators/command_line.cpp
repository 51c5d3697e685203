#include "operators/command_line.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>
#include <sstream>

namespace poplarspool::operators {

arguments_or_exit_code parseArguments(cxxopts::Options &options,
                                      const std::vector<std::string> &arguments, std::ostream &out,
                                      std::ostream &err)
{
    options.add_options()("h,help", "Print this help");
    std::vector<const char *> argv{options.program().c_str()};
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    try {
        cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") != 0) {
            out << options.help({""});
            return exitSuccess;
        }
        if (!parsed.unmatched().empty())
            return reportUsageError(options, "unexpected argument: " + parsed.unmatched().front(),
                                    err);
        return parsed;
    } catch (const cxxopts::exceptions::exception &failure) {
        return reportUsageError(options, failure.what(), err);
    }
}

int reportUsageError(const cxxopts::Options &options, const std::string &reason, std::ostream &err)
{
    err << options.program() << ": " << reason << "\n\n" << options.help({""});
    return exitInvalidInput;
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
