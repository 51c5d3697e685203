#include "bench/command.h"
#include "bench/first_byte.h"
#include "bench/instance_load.h"

#include <algorithm>
#include <iostream>

namespace poplarspool::bench {

namespace {

cxxopts::Options optionsOfPath()
{
    cxxopts::Options options("poplarspool-bench path",
                             "Through one instance against straight to an engine, in one run.");
    const auto count = [](const char *byDefault) {
        return cxxopts::value<std::string>()->default_value(byDefault);
    };
    const auto text = [] { return cxxopts::value<std::string>(); };
    auto add = options.add_options();
    add("instance", "Caller address of the instance", text());
    add("instance-pid", "Its process", text());
    add("engine", "The only engine behind it", text());
    add("model", "Model to ask for", text());
    add("pairs", "Pairs of one request through the instance and one straight", count("2000"));
    add("seconds", "How long to send for the requests per second and core", count("10"));
    add("connections", "Connections to send them on", count("32"));
    add("streams", "Streams open at the same time", count("1000"));
    add("stream-tokens", "Tokens of each of these streams", count("400"));
    return options;
}

path_target targetFrom(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("model") == 0)
        throw usage_error("--model is missing");
    return {endpointOption(parsed, "instance"), endpointOption(parsed, "engine"),
            std::int64_t(countOption(parsed, "instance-pid", 1)),
            parsed["model"].as<std::string>()};
}

template <class Value>
bool printOutcome(const result<Value> &measured)
{
    if (!succeeded(measured)) {
        std::cerr << "not measured: " << errorOf(measured).message << '\n';
        return false;
    }
    std::cout << lineOf(figuresOf(valueOf(measured))) << std::endl;
    return true;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const path_target target = targetFrom(parsed);
    const auto positive = [&parsed](const char *name) {
        return static_cast<std::uint32_t>(countOption(parsed, name, 1));
    };
    bool isMeasured = printOutcome(measureFirstByte(target, positive("pairs")));
    const std::chrono::seconds time(positive("seconds"));
    isMeasured &= printOutcome(measureThroughput(target, positive("connections"), time));
    isMeasured &=
            printOutcome(measureStreams(target, positive("streams"), positive("stream-tokens")));
    return isMeasured ? exitDone : exitWrong;
}

} // namespace

int pathCommand(const words &arguments)
{
    cxxopts::Options options = optionsOfPath();
    return runParsed(options, arguments, runFrom);
}

} // namespace poplarspool::bench
