#include "bench/command.h"
#include "bench/decisions.h"
#include "bench/gossip_slope.h"
#include "bench/routes.h"

#include <array>
#include <iostream>

namespace {

using namespace poplarspool;

struct subcommand
{
    std::string_view name;
    std::string_view purpose;
    int (*run)(const bench::words &);
};

constexpr std::array subcommands{
        subcommand{"load", "send requests as a caller does, and check every answer token by token",
                   bench::loadCommand},
        subcommand{"path", "what an instance adds to the way to an engine", bench::pathCommand},
        subcommand{"idle", "what instances spend on control", bench::idleCommand},
        subcommand{"slope", "fit figures of several fleets to straight lines", bench::slopeCommand},
        subcommand{"decisions", "how long the policy's decisions take", bench::decisionsBench},
        subcommand{"routes", "how long lookups and changes take at several numbers of routes",
                   bench::routesBench},
        subcommand{"gossip", "what gossip costs at several numbers of nodes", bench::gossipSlope},
        subcommand{"wait", "wait until a fleet answers", bench::waitCommand},
        subcommand{"call", "one HTTP request", bench::callCommand},
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
    const bench::words arguments(values + 1, values + count);
    if (arguments.empty())
        return usage(std::cerr);
    if (arguments.front() == "--help") {
        usage(std::cout);
        return bench::exitDone;
    }
    for (const subcommand &known : subcommands) {
        if (known.name == arguments.front())
            return known.run(bench::words(arguments.begin() + 1, arguments.end()));
    }
    std::cerr << "unknown command: " << arguments.front() << '\n';
    return usage(std::cerr);
}
