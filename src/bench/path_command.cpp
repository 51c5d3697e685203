#include "bench/command.h"
#include "bench/first_byte.h"
#include "bench/instance_load.h"

#include <algorithm>
#include <iostream>

namespace poplarspool::bench {

namespace {

cxxopts::Options optionsOfPath()
{
    cxxopts::Options options(
            "poplarspool-bench path",
            "Compares requests through an instance with requests sent directly to its engine.");
    const auto count = [](const char *byDefault) {
        return cxxopts::value<std::string>()->default_value(byDefault);
    };
    const auto text = [] { return cxxopts::value<std::string>(); };
    auto add = options.add_options();
    add("instance", "Caller address of the instance", text());
    add("instance-pid", "Process id of the instance", text());
    add("engine", "The only engine behind it", text());
    add("model", "Model to request", text());
    add("pairs", "Pairs of one request through the instance and one directly to the engine",
        count("2000"));
    add("seconds", "How long to measure the throughput, seconds", count("10"));
    add("connections", "Connections for measuring the throughput", count("32"));
    add("streams", "Number of concurrent streams", count("1000"));
    add("stream-tokens", "Tokens of each stream", count("400"));
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
bool printMeasurement(const result<Value> &measured)
{
    if (!succeeded(measured)) {
        std::cerr << "measurement failed: " << errorOf(measured).message << '\n';
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
    bool isMeasured = printMeasurement(measureFirstByte(target, positive("pairs")));
    const std::chrono::seconds time(positive("seconds"));
    isMeasured &= printMeasurement(measureThroughput(target, positive("connections"), time));
    isMeasured &= printMeasurement(
            measureStreams(target, positive("streams"), positive("stream-tokens")));
    return isMeasured ? exitSuccess : exitFailure;
}

} // namespace

int pathCommand(const argument_list &arguments)
{
    cxxopts::Options options = optionsOfPath();
    return parseAndRun(options, arguments, runFrom);
}

} // namespace poplarspool::bench
