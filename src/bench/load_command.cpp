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
                             "Sends requests as callers do and checks every answer.");
    const auto text = [](const char *byDefault) {
        return cxxopts::value<std::string>()->default_value(byDefault);
    };
    const auto number = [](const char *byDefault) {
        return cxxopts::value<double>()->default_value(byDefault);
    };
    const auto count = text;
    auto add = options.add_options();
    add("ask", "Instances to fetch the addresses from: ADDR[,ADDR…]",
        cxxopts::value<std::string>());
    add("requests", "Total number of requests; 0: unlimited", count("0"));
    add("seconds", "How long to send, seconds; 0: unlimited", number("0"));
    add("while", "Send for as long as this file exists", text(""));
    add("rate", "Requests per second; 0: the next one when a stream ends", number("0"));
    add("streams", "Maximum number of concurrent requests", count("8"));
    add("mix", "Token counts: PROMPT:OUTPUT[,…]", text("200:20"));
    add("shift-seconds", "Use one entry of the mix at a time, for this long each; 0: all mixed",
        count("0"));
    add("models", "NAME[,…]", text(""));
    add("services", "NAME[,…]", text(""));
    add("service-path", "Path within the services", text("/orders"));
    add("service-share", "Share of service calls among all requests", number("0.3"));
    add("key-share", "Share of calls with an idempotency key among service calls", number("1"));
    add("stream-share", "Share of streamed requests among completions", number("1"));
    add("workspaces", "Number of workspaces to spread the requests over", count("8"));
    add("callers", "Number of callers, each with its own cached addresses", count("8"));
    add("caller", "Prefix of the caller names", text("bench"));
    add("zone", "Availability zone of the callers", text(""));
    add("bearer", "Key of the callers", text(""));
    add("time-limit-ms", "Time limit of each request, milliseconds", count("60000"));
    add("records", "Stand-in services whose records are compared with the outcomes: ADDR[,…]",
        text(""));
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
    plan.models = splitNonEmpty(parsed["models"].as<std::string>(), ',');
    plan.services = splitNonEmpty(parsed["services"].as<std::string>(), ',');
    if (plan.models.empty() && plan.services.empty())
        throw usage_error("one of --models and --services is required");
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
    options.seeds = endpointsOption(parsed, "ask");
    if (!parsed["records"].as<std::string>().empty())
        options.records = endpointsOption(parsed, "records");
    options.identity = {parsed["caller"].as<std::string>(), parsed["bearer"].as<std::string>(),
                        parsed["zone"].as<std::string>()};
    options.callers = std::uint32_t(countOption(parsed, "callers", 1));
    options.streams = std::uint32_t(countOption(parsed, "streams", 1));
    options.rate = parsed["rate"].as<double>();
    options.requests = countOption(parsed, "requests");
    const std::chrono::duration<double> time(parsed["seconds"].as<double>());
    options.time = std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    options.runWhileFile = parsed["while"].as<std::string>();
    if (options.requests == 0 && options.time.count() <= 0 && options.runWhileFile.empty())
        throw usage_error("one of --requests, --seconds and --while is required to limit the load");
    return options;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const load_summary summary = runLoad(optionsFrom(parsed));
    for (const std::string &detail : summary.details)
        std::cerr << detail << '\n';
    const figures all = figuresOf(summary);
    std::cout << (parsed.count("json") > 0 ? jsonOf(all) : lineOf(all)) << std::endl;
    return summary.isClean() ? exitSuccess : exitFailure;
}

} // namespace

int loadCommand(const argument_list &arguments)
{
    cxxopts::Options options = optionsOfLoad();
    return parseAndRun(options, arguments, runFrom);
}

} // namespace poplarspool::bench
