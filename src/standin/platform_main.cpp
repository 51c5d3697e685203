#include "poplarspool/base/process_signal.h"
#include "standin/platform.h"

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

namespace poplarspool::standin {

namespace {

constexpr int exitUsage = 2;

cxxopts::Options optionsOfPlatform()
{
    cxxopts::Options options("poplarspool-standin platform",
                             "Emulates the object API, instance list and weight store in memory.");
    options.add_options()("listen",
                          "Address, for example 127.0.0.1:7000; port 0: chosen by the system",
                          cxxopts::value<std::string>())(
            "rate", "Rate limit of the weight store, calls per second",
            cxxopts::value<double>()->default_value("10"))("help", "Show this text");
    return options;
}

int serveUntilSignal(const endpoint &bind, double rate)
{
    blockTerminationSignals();
    platform_standin standin(bind, rate);
    const auto address = standin.start();
    if (!succeeded(address)) {
        std::cerr << errorOf(address).message << '\n';
        return 1;
    }
    std::cout << "listening " << textOf(valueOf(address)) << std::endl;
    waitForTerminationSignal();
    standin.stop();
    return 0;
}

int runParsed(const cxxopts::ParseResult &parsed)
{
    const auto bind = parseEndpoint(parsed["listen"].as<std::string>());
    if (!succeeded(bind)) {
        std::cerr << errorOf(bind).message << '\n';
        return exitUsage;
    }
    return serveUntilSignal(valueOf(bind), parsed["rate"].as<double>());
}

} // namespace

int platformMain(const std::vector<std::string> &arguments)
{
    cxxopts::Options options = optionsOfPlatform();
    std::vector<const char *> argv{"platform"};
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") == 0)
            return runParsed(parsed);
        std::cout << options.help();
        return 0;
    } catch (const cxxopts::exceptions::exception &fault) {
        std::cerr << fault.what() << '\n' << options.help();
        return exitUsage;
    }
}

} // namespace poplarspool::standin
