#include "bench/command.h"
#include "bench/load_run.h"
#include "poplarspool/base/hash.h"

#include <algorithm>
#include <iostream>

namespace poplarspool::bench {

namespace {

cxxopts::Options optionsOfLoad()
{
    cxxopts::Options options("poplarspool-bench load",
                             "Sends requests as a caller does and checks every answer.");
    const auto text = [](const char *byDefault) {
        return cxxopts::value<std::string>()->default_value(byDefault);
    };
    const auto number = [](const char *byDefault) {
        return cxxopts::value<double>()->default_value(byDefault);
    };
    const auto count = text;
    auto add = options.add_options();
    add("ask", "Instances to ask for addresses: ADDR[,ADDR…]", cxxopts::value<std::string>());
    add("requests", "Requests in all; 0: no bound", count("0"));
    add("seconds", "How long to send; 0: no bound", number("0"));
    add("while", "Sends while this file is there", text(""));
    add("rate", "Requests a second; 0: as fast as streams end", number("0"));
    add("streams", "Requests open at the same time, at most", count("8"));
    add("mix", "Tokens: PROMPT:OUTPUT[,…]", text("200:20"));
    add("shift-seconds", "One entry of the mix at a time, each so long; 0: all mixed", count("0"));
    add("models", "NAME[,…]", text(""));
    add("services", "NAME[,…]", text(""));
    add("service-path", "The services' own path", text("/orders"));
    add("service-share", "Service calls among all requests", number("0.3"));
    add("key-share", "Calls with a key, not to be repeated, among service calls", number("1"));
    add("stream-share", "Streamed ones among completions", number("1"));
    add("workspaces", "Workspaces to spread over", count("8"));
    add("callers", "Callers, each with its own kept addresses", count("8"));
    add("caller", "Prefix of the callers' names", text("bench"));
    add("zone", "The callers' availability zone", text(""));
    add("bearer", "The callers' key", text(""));
    add("time-limit-ms", "Of each request", count("60000"));
    add("records", "Stand-in services to compare keys with: ADDR[,…]", text(""));
    add("json", "Print one JSON object");
    return options;
}

load_plan planFrom(const cxxopts::ParseResult &parsed)
{
    load_plan plan;
    plan.run = randomHex128().substr(0, 12);
    plan.mix = parseMix(parsed["mix"].as<std::string>());
    const std::uint64_t shift = countOption(parsed, "shift-seconds");
    if (shift > 0)
        plan.shift = std::chrono::seconds(shift);
    plan.models = partsOf(parsed["models"].as<std::string>(), ',');
    plan.services = partsOf(parsed["services"].as<std::string>(), ',');
    if (plan.models.empty() && plan.services.empty())
        throw usage_error("neither --models nor --services is given");
    plan.servicePath = parsed["service-path"].as<std::string>();
    plan.serviceShare = parsed["service-share"].as<double>();
    plan.keyShare = parsed["key-share"].as<double>();
    plan.streamShare = parsed["stream-share"].as<double>();
    plan.workspaces = std::uint32_t(countOption(parsed, "workspaces", 1));
    plan.timeLimit = milliseconds(countOption(parsed, "time-limit-ms"));
    return plan;
}

load_options optionsFrom(const cxxopts::ParseResult &parsed)
{
    load_options options;
    options.plan = planFrom(parsed);
    options.ask = endpointsOption(parsed, "ask");
    if (!parsed["records"].as<std::string>().empty())
        options.records = endpointsOption(parsed, "records");
    options.who = {parsed["caller"].as<std::string>(), parsed["bearer"].as<std::string>(),
                   parsed["zone"].as<std::string>()};
    options.callers = std::uint32_t(countOption(parsed, "callers", 1));
    options.streams = std::uint32_t(countOption(parsed, "streams", 1));
    options.rate = parsed["rate"].as<double>();
    options.requests = countOption(parsed, "requests");
    const std::chrono::duration<double> time(parsed["seconds"].as<double>());
    options.time = std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    options.whileFile = parsed["while"].as<std::string>();
    if (options.requests == 0 && options.time.count() <= 0 && options.whileFile.empty())
        throw usage_error("none of --requests, --seconds and --while bounds the load");
    return options;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const load_summary summary = runLoad(optionsFrom(parsed));
    for (const std::string &detail : summary.details)
        std::cerr << detail << '\n';
    const figures all = figuresOf(summary);
    std::cout << (parsed.count("json") > 0 ? jsonOf(all) : lineOf(all)) << std::endl;
    return summary.isClean() ? exitDone : exitWrong;
}

} // namespace

int loadCommand(const words &arguments)
{
    cxxopts::Options options = optionsOfLoad();
    return runParsed(options, arguments, runFrom);
}

} // namespace poplarspool::bench
