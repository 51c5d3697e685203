#include "bench/command.h"
#include "bench/decisions.h"
#include "bench/gossip_command.h"
#include "bench/routes.h"

#include <array>
#include <iostream>

namespace {

using namespace poplarspool;

struct subcommand
{
    std::string_view name;
    std::string_view purpose;
    int (*run)(const bench::argument_list &);
};

constexpr std::array subcommands{
        subcommand{"load", "send requests as callers do and check every answer token by token",
                   bench::loadCommand},
        subcommand{"path", "latency, throughput and memory of requests through an instance",
                   bench::pathCommand},
        subcommand{"idle", "control-plane cost of running instances", bench::idleCommand},
        subcommand{"slope", "fit straight lines to the values of several fleets",
                   bench::slopeCommand},
        subcommand{"decisions", "time that the decisions of the policy library take",
                   bench::decisionsCommand},
        subcommand{"routes", "time of route lookups and changes for several numbers of routes",
                   bench::routesCommand},
        subcommand{"gossip", "cost of gossip for several numbers of nodes", bench::gossipCommand},
        subcommand{"wait", "wait until addresses give the expected answer", bench::waitCommand},
        subcommand{"call", "send one HTTP request", bench::callCommand},
};

constexpr std::size_t nameWidth = 11;

int usage(std::ostream &out)
{
    out << "Usage: poplarspool-bench COMMAND [OPTION...]; COMMAND --help shows its options\n\n";
    for (const subcommand &known : subcommands)
        out << "  " << known.name << std::string(nameWidth - known.name.size(), ' ')
            << known.purpose << '\n';
    return bench::exitUsage;
}

} // namespace

int main(int count, char **values)
{
    const bench::argument_list arguments(values + 1, values + count);
    if (arguments.empty())
        return usage(std::cerr);
    if (arguments.front() == "--help") {
        usage(std::cout);
        return bench::exitSuccess;
    }
    for (const subcommand &known : subcommands) {
        if (known.name == arguments.front())
            return known.run(bench::argument_list(arguments.begin() + 1, arguments.end()));
    }
    std::cerr << "unknown command: " << arguments.front() << '\n';
    return usage(std::cerr);
}
