#include "app/early_signals.h"
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

int versionCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool version", "Prints the program's version.");
    options.custom_help("");
    const operators::arguments_or_exit_code parsed =
            operators::parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    out << "poplarspool " POPLARSPOOL_VERSION "\n";
    return operators::exitSuccess;
}

struct subcommand
{
    std::string_view name;
    std::string_view description;
    int (*run)(const std::vector<std::string> &, std::ostream &, std::ostream &);
    bool isServer = false;
};

constexpr std::array subcommands{
        subcommand{"serve", "Run one entry instance", app::serveCommand, true},
        subcommand{"gateway", "Run one gateway instance that forwards requests to listed runners",
                   app::gatewayCommand, true},
        subcommand{"check", "Validate settings, inventories and rules", operators::checkCommand},
        subcommand{"apply", "Apply an inventory and rules as the configuration",
                   operators::applyCommand},
        subcommand{"status", "Show the configuration, instances and runners",
                   operators::statusCommand},
        subcommand{"timeline", "Print the events of all instances", operators::timelineCommand},
        subcommand{"version", "Print the program's version", versionCommand},
};

constexpr int nameWidth = 10;

void printUsage(std::ostream &out)
{
    out << "Serves a fixed fleet of model engines and plain services.\n"
           "Usage:\n  poplarspool COMMAND [OPTION...]\n\nCommands:\n";
    for (const subcommand &command : subcommands)
        out << "  " << std::left << std::setw(nameWidth) << command.name << command.description
            << '\n';
    out << "\n`poplarspool COMMAND --help` shows the options of a command.\n";
}

int run(const std::vector<std::string> &arguments)
{
    const std::string name = arguments.empty() ? std::string() : arguments.front();
    if (name == "--help" || name == "-h" || name == "help") {
        printUsage(std::cout);
        return operators::exitSuccess;
    }
    const auto match =
            std::find_if(subcommands.begin(), subcommands.end(),
                         [&name](const subcommand &command) { return command.name == name; });
    if (match == subcommands.end()) {
        std::cerr << "poplarspool: " << (name.empty() ? "no command" : "unknown command: " + name)
                  << "\n\n";
        printUsage(std::cerr);
        return operators::exitInvalidInput;
    }
    if (!match->isServer)
        app::unblockReloadSignal();
    return match->run({arguments.begin() + 1, arguments.end()}, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run({argv + std::min(argc, 1), argv + argc});
    } catch (const std::exception &failure) {
        std::cerr << "poplarspool: " << failure.what() << '\n';
        return operators::exitFailure;
    }
}
