#include "bench/command.h"
#include "bench/metrics_text.h"
#include "bench/process_usage.h"
#include "bench/sample_stats.h"

#include <iostream>
#include <thread>

namespace poplarspool::bench {

namespace {

constexpr milliseconds connectTimeout{1000};

struct instance_process
{
    std::int64_t pid = 0;
    endpoint operatorAddress;
};

struct snapshot
{
    mono_time at{};
    process_usage process;
    metric_samples metrics;
};

/// Resources that one instance used between two snapshots.
struct control_cost
{
    double cpuPercent = 0; ///< Of one core.
    double residentKb = 0;
    double bytesPerSecond = 0; ///< Sum of all *_bytes_total counters.
    double storeCallsPerSecond = 0;
};

cxxopts::Options optionsOfIdle()
{
    cxxopts::Options options(
            "poplarspool-bench idle",
            "Control-plane cost of running instances: a line for each, and the mean.");
    const auto text = [] { return cxxopts::value<std::string>(); };
    auto add = options.add_options();
    add("pids", "PID[,PID…]", text());
    add("operators", "Operator addresses of these processes, in the same order", text());
    add("seconds", "How long to measure", cxxopts::value<double>()->default_value("30"));
    add("bearer", "Operator key", text()->default_value(""));
    add("runners", "Number of runners; only repeated in the line of the mean",
        cxxopts::value<double>()->default_value("0"));
    return options;
}

std::vector<instance_process> instancesFrom(const cxxopts::ParseResult &parsed)
{
    const std::vector<endpoint> operators = endpointsOption(parsed, "operators");
    if (parsed.count("pids") == 0)
        throw usage_error("--pids is missing");
    const std::vector<std::string> pids = splitNonEmpty(parsed["pids"].as<std::string>(), ',');
    if (pids.size() != operators.size())
        throw usage_error("--pids and --operators must have the same number of entries");
    std::vector<instance_process> instances;
    for (std::size_t index = 0; index < pids.size(); ++index)
        instances.push_back({std::int64_t(parseNumber(pids[index])), operators[index]});
    return instances;
}

result<snapshot> takeSnapshot(const instance_process &instance, const std::string &bearerKey,
                              http_pool &pool)
{
    // The metrics are fetched before the process is read, so that the measured interval contains
    // the cost of only one fetch.
    const auto metrics = fetchMetrics(instance.operatorAddress, bearerKey, pool);
    if (!succeeded(metrics))
        return errorOf(metrics);
    const auto process = readProcessUsage(instance.pid);
    if (!succeeded(process))
        return errorOf(process);
    return snapshot{systemClock().mono(), valueOf(process), valueOf(metrics)};
}

result<std::vector<snapshot>> takeSnapshots(const std::vector<instance_process> &instances,
                                            const std::string &bearerKey, http_pool &pool)
{
    std::vector<snapshot> snapshots;
    for (const instance_process &instance : instances) {
        const auto one = takeSnapshot(instance, bearerKey, pool);
        if (!succeeded(one))
            return errorOf(one);
        snapshots.push_back(valueOf(one));
    }
    return snapshots;
}

control_cost costBetween(const snapshot &before, const snapshot &after)
{
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    const std::chrono::duration<double> cpu = after.process.cpuTime - before.process.cpuTime;
    const auto increaseOf = [&](std::string_view suffix) {
        return sumBySuffix(after.metrics, suffix) - sumBySuffix(before.metrics, suffix);
    };
    return {100 * cpu.count() / seconds, double(after.process.residentKb),
            increaseOf("_bytes_total") / seconds, increaseOf("store_calls_total") / seconds};
}

figures figuresOf(const control_cost &cost)
{
    return {{"cpu_percent", cost.cpuPercent, 3},
            {"resident_kb", cost.residentKb, 0},
            {"bytes_per_second", cost.bytesPerSecond, 0},
            {"store_calls_per_second", cost.storeCallsPerSecond, 2}};
}

control_cost meanOf(const std::vector<control_cost> &costs)
{
    control_cost mean;
    const auto share = 1.0 / double(costs.size());
    for (const control_cost &cost : costs) {
        mean.cpuPercent += cost.cpuPercent * share;
        mean.residentKb += cost.residentKb * share;
        mean.bytesPerSecond += cost.bytesPerSecond * share;
        mean.storeCallsPerSecond += cost.storeCallsPerSecond * share;
    }
    return mean;
}

void printCosts(const std::vector<instance_process> &instances,
                const std::vector<control_cost> &costs, double runners)
{
    for (std::size_t index = 0; index < costs.size(); ++index)
        std::cout << "pid=" << instances[index].pid << ' ' << lineOf(figuresOf(costs[index]))
                  << '\n';
    const figures fleet{{"instances", double(costs.size()), 0}, {"runners", runners, 0}};
    std::cout << "mean " << lineOf(fleet) << ' ' << lineOf(figuresOf(meanOf(costs))) << std::endl;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const std::vector<instance_process> instances = instancesFrom(parsed);
    const auto bearerKey = parsed["bearer"].as<std::string>();
    metrics_registry metrics;
    http_pool pool(1, connectTimeout, metrics);
    const auto before = takeSnapshots(instances, bearerKey, pool);
    if (succeeded(before))
        std::this_thread::sleep_for(std::chrono::duration<double>(parsed["seconds"].as<double>()));
    const auto after = succeeded(before) ? takeSnapshots(instances, bearerKey, pool) : before;
    if (!succeeded(after)) {
        std::cerr << errorOf(after).message << '\n';
        return exitFailure;
    }
    std::vector<control_cost> costs;
    for (std::size_t index = 0; index < instances.size(); ++index)
        costs.push_back(costBetween(valueOf(before)[index], valueOf(after)[index]));
    printCosts(instances, costs, parsed["runners"].as<double>());
    return exitSuccess;
}

} // namespace

int idleCommand(const argument_list &arguments)
{
    cxxopts::Options options = optionsOfIdle();
    return parseAndRun(options, arguments, runFrom);
}

} // namespace poplarspool::bench
