#include "bench/command.h"
#include "poplarspool/base/http.h"

#include <iostream>
#include <thread>

namespace poplarspool::bench {

namespace {

constexpr milliseconds connectTime{1000};
constexpr milliseconds callTime{10000};
constexpr milliseconds waitPause{100};

int runCall(const cxxopts::ParseResult &parsed)
{
    metrics_registry metrics;
    http_pool pool(1, connectTime, metrics);
    http_request request;
    request.method = parsed["method"].as<std::string>();
    request.path = parsed["path"].as<std::string>();
    request.body = parsed["body"].as<std::string>();
    if (!request.body.empty())
        request.contentType = "application/json";
    const auto reply = pool.send(endpointOption(parsed, "to"), request, callTime);
    if (!succeeded(reply)) {
        std::cerr << errorOf(reply).message << '\n';
        return exitWrong;
    }
    std::cout << valueOf(reply).body << std::endl;
    return valueOf(reply).status < 300 ? exitDone : exitWrong;
}

/// @returns Whether the reply is a success that holds the wanted text.
bool answers(const endpoint &to, const std::string &path, const std::string &text, http_pool &pool)
{
    http_request request;
    request.path = path;
    const auto reply = pool.send(to, request, connectTime);
    return succeeded(reply) && valueOf(reply).status == 200
            && valueOf(reply).body.find(text) != std::string::npos;
}

int runWait(const cxxopts::ParseResult &parsed)
{
    const clock_source clock = systemClock();
    const std::chrono::duration<double> bound(parsed["seconds"].as<double>());
    const mono_time deadline =
            clock.mono() + std::chrono::duration_cast<std::chrono::nanoseconds>(bound);
    const auto path = parsed["path"].as<std::string>();
    const auto text = parsed["text"].as<std::string>();
    metrics_registry metrics;
    http_pool pool(1, connectTime, metrics);
    for (const endpoint &to : endpointsOption(parsed, "to")) {
        while (!answers(to, path, text, pool)) {
            if (clock.mono() > deadline) {
                std::cerr << textOf(to) << path << " has not answered as wanted in time\n";
                return exitWrong;
            }
            std::this_thread::sleep_for(waitPause);
        }
    }
    return exitDone;
}

} // namespace

int callCommand(const words &arguments)
{
    cxxopts::Options options("poplarspool-bench call",
                             "Sends one HTTP request and prints the answer's body.");
    auto add = options.add_options();
    add("to", "Address", cxxopts::value<std::string>());
    add("method", "Method", cxxopts::value<std::string>()->default_value("GET"));
    add("path", "Path with its query", cxxopts::value<std::string>()->default_value("/"));
    add("body", "JSON", cxxopts::value<std::string>()->default_value(""));
    return runParsed(options, arguments, runCall);
}

int waitCommand(const words &arguments)
{
    cxxopts::Options options("poplarspool-bench wait",
                             "Waits until each address answers 200, with a text in its body.");
    auto add = options.add_options();
    add("to", "ADDR[,ADDR…]", cxxopts::value<std::string>());
    add("path", "Path with its query",
        cxxopts::value<std::string>()->default_value("/v1/addresses"));
    add("text", "What the body has to hold", cxxopts::value<std::string>()->default_value(""));
    add("seconds", "Bound", cxxopts::value<double>()->default_value("30"));
    return runParsed(options, arguments, runWait);
}

} // namespace poplarspool::bench
