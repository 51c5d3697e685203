#include "app/gateway_command.h"
#include "app/serve.h"
#include "operators/command_line.h"
#include "poplarspool/operators/commands.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace poplarspool;

int versionCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool version", "Prints the program's version.");
    options.custom_help("");
    const operators::words_or_exit parsed = operators::parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    out << "poplarspool " POPLARSPOOL_VERSION "\n";
    return operators::exitDone;
}

struct subcommand
{
    std::string_view name;
    std::string_view meaning;
    int (*run)(const std::vector<std::string> &, std::ostream &, std::ostream &);
};

constexpr std::array subcommands{
        subcommand{"serve", "Run one entry instance", app::serveCommand},
        subcommand{"gateway", "Run one instance that passes requests on to listed runners",
                   app::gatewayCommand},
        subcommand{"check", "Check settings, inventories and rules", operators::checkCommand},
        subcommand{"apply", "Make an inventory and rules the configuration",
                   operators::applyCommand},
        subcommand{"status", "Show configuration, instances and runners", operators::statusCommand},
        subcommand{"timeline", "Print the events of all instances", operators::timelineCommand},
        subcommand{"version", "Print the program's version", versionCommand},
};

constexpr int nameWidth = 10;

void printUsage(std::ostream &out)
{
    out << "Serves a fixed fleet of model engines and plain services.\n"
           "Usage:\n  poplarspool COMMAND [OPTION...]\n\nCommands:\n";
    for (const subcommand &one : subcommands)
        out << "  " << std::left << std::setw(nameWidth) << one.name << one.meaning << '\n';
    out << "\n`poplarspool COMMAND --help` shows the options of a command.\n";
}

int run(const std::vector<std::string> &words)
{
    const std::string first = words.empty() ? std::string() : words.front();
    if (first == "--help" || first == "-h" || first == "help") {
        printUsage(std::cout);
        return operators::exitDone;
    }
    const auto found = std::find_if(subcommands.begin(), subcommands.end(),
                                    [&first](const subcommand &one) { return one.name == first; });
    if (found == subcommands.end()) {
        std::cerr << "poplarspool: " << (first.empty() ? "no command" : "unknown command: " + first)
                  << "\n\n";
        printUsage(std::cerr);
        return operators::exitBadWords;
    }
    return found->run({words.begin() + 1, words.end()}, std::cout, std::cerr);
}

} // namespace

int main(int count, char **words)
{
    try {
        return run({words + std::min(count, 1), words + count});
    } catch (const std::exception &failure) {
        std::cerr << "poplarspool: " << failure.what() << '\n';
        return operators::exitFailed;
    }
}
