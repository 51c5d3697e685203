#include "poplarspool/base/process_signal.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"
#include "standin_app/target_options.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

/// `poplarspool-standin platform|engine|service OPTION…`: stand-ins for the systems that the
/// product depends on, for tests, demos and benchmarks. Prints "listening ADDRESS" and runs until
/// SIGTERM or SIGINT.
namespace {

using namespace poplarspool;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr const char *usage = "usage: poplarspool-standin platform|engine|service [--help] ...\n";

template <class Standin, class Options>
int serveUntilSignal(const Options &options)
{
    blockTerminationSignals();
    Standin standin(options);
    const auto address = standin.start();
    if (!succeeded(address)) {
        std::cerr << errorOf(address).message << '\n';
        return exitFailure;
    }
    std::cout << "listening " << textOf(valueOf(address)) << std::endl;
    waitForTerminationSignal();
    standin.stop();
    return 0;
}

template <class Standin, class Options>
int runTarget(const result<std::variant<Options, standin::help_text>> &parsed)
{
    if (!succeeded(parsed)) {
        std::cerr << errorOf(parsed).message << '\n' << usage;
        return exitUsage;
    }
    if (const auto *help = std::get_if<standin::help_text>(&valueOf(parsed))) {
        std::cout << help->text;
        return 0;
    }
    return serveUntilSignal<Standin>(std::get<Options>(valueOf(parsed)));
}

} // namespace

int main(int count, char **values)
{
    // Clients may disconnect at any time; SIGPIPE must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(values + 1, values + count);
    const std::string command = arguments.empty() ? "" : arguments.front();
    const std::vector<std::string> rest(arguments.begin() + (arguments.empty() ? 0 : 1),
                                        arguments.end());
    if (command == "platform")
        return standin::platformMain(rest);
    if (command == "engine")
        return runTarget<standin::engine_standin>(standin::parseEngineOptions(rest));
    if (command == "service")
        return runTarget<standin::service_standin>(standin::parseServiceOptions(rest));
    std::cerr << usage;
    return exitUsage;
}
