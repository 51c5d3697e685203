#include "bench/command.h"
#include "poplarspool/base/http.h"

#include <iostream>
#include <thread>

namespace poplarspool::bench {

namespace {

constexpr milliseconds connectTimeout{1000};
constexpr milliseconds callTimeout{10000};
constexpr milliseconds pollInterval{100};

int runCall(const cxxopts::ParseResult &parsed)
{
    metrics_registry metrics;
    http_pool pool(1, connectTimeout, metrics);
    http_request request;
    request.method = parsed["method"].as<std::string>();
    request.path = parsed["path"].as<std::string>();
    request.body = parsed["body"].as<std::string>();
    if (!request.body.empty())
        request.contentType = "application/json";
    const auto reply = pool.send(endpointOption(parsed, "to"), request, callTimeout);
    if (!succeeded(reply)) {
        std::cerr << errorOf(reply).message << '\n';
        return exitFailure;
    }
    std::cout << valueOf(reply).body << std::endl;
    return valueOf(reply).status < 300 ? exitSuccess : exitFailure;
}

/// @returns Whether the reply has status 200 and its body contains the text.
bool hasExpectedAnswer(const endpoint &to, const std::string &path, const std::string &text,
                       http_pool &pool)
{
    http_request request;
    request.path = path;
    const auto reply = pool.send(to, request, connectTimeout);
    return succeeded(reply) && valueOf(reply).status == 200
            && valueOf(reply).body.find(text) != std::string::npos;
}

int runWait(const cxxopts::ParseResult &parsed)
{
    const clock_source clock = systemClock();
    const std::chrono::duration<double> timeLimit(parsed["seconds"].as<double>());
    const mono_time deadline =
            clock.mono() + std::chrono::duration_cast<std::chrono::nanoseconds>(timeLimit);
    const auto path = parsed["path"].as<std::string>();
    const auto text = parsed["text"].as<std::string>();
    metrics_registry metrics;
    http_pool pool(1, connectTimeout, metrics);
    for (const endpoint &to : endpointsOption(parsed, "to")) {
        while (!hasExpectedAnswer(to, path, text, pool)) {
            if (clock.mono() > deadline) {
                std::cerr << textOf(to) << path
                          << " did not give the expected answer within the time limit\n";
                return exitFailure;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return exitSuccess;
}

} // namespace

int callCommand(const argument_list &arguments)
{
    cxxopts::Options options("poplarspool-bench call",
                             "Sends one HTTP request and prints the body of the reply.");
    auto add = options.add_options();
    add("to", "Address", cxxopts::value<std::string>());
    add("method", "Method", cxxopts::value<std::string>()->default_value("GET"));
    add("path", "Path and query", cxxopts::value<std::string>()->default_value("/"));
    add("body", "JSON body", cxxopts::value<std::string>()->default_value(""));
    return parseAndRun(options, arguments, runCall);
}

int waitCommand(const argument_list &arguments)
{
    cxxopts::Options options(
            "poplarspool-bench wait",
            "Waits until each address replies with status 200 and a body that contains a text.");
    auto add = options.add_options();
    add("to", "ADDR[,ADDR…]", cxxopts::value<std::string>());
    add("path", "Path and query", cxxopts::value<std::string>()->default_value("/v1/addresses"));
    add("text", "Text that the body must contain",
        cxxopts::value<std::string>()->default_value(""));
    add("seconds", "Bound", cxxopts::value<double>()->default_value("30"));
    return parseAndRun(options, arguments, runWait);
}

} // namespace poplarspool::bench
