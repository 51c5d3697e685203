#include "bench/gossip_command.h"

#include "bench/command.h"
#include "bench/process_usage.h"
#include "bench/sample_stats.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace poplarspool::bench {

namespace {

using peer::gossip;
using peer::rumor;
using std::chrono::steady_clock;

/// Wait after joining, so that the traffic of joining is not measured.
constexpr std::chrono::seconds settleTime(10);
constexpr std::chrono::seconds convergenceTimeout(60);
constexpr std::chrono::seconds rumorInterval(1);
/// Approximate size of a runner's load report.
constexpr std::size_t rumorPayloadBytes = 80;

struct usage_sample
{
    process_usage process;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    steady_clock::time_point at;
};

/// Gossip nodes in one process that communicate over loopback, with the production settings.
class cluster
{
public:
    explicit cluster(std::size_t count) : nodes(count)
    {
        for (std::size_t index = 0; index < count; ++index)
            nodes[index] = std::make_unique<node>(*this, index);
        std::vector<endpoint> contacts;
        for (std::size_t index = 0; index < std::min(count, config::gossipFanout); ++index)
            contacts.push_back(nodes[index]->agent.members().front().peerAddress);
        for (const auto &each : nodes)
            each->agent.setContacts(contacts);
    }

    /// @returns Seconds until every node sees that many members, each with at least that applied
    ///          version; -1 on timeout.
    double waitForAll(std::size_t members, std::uint64_t version)
    {
        return wait([=](const node &each) {
            return each.members == members && each.lowestAppliedVersion >= version;
        });
    }

    double waitForRumor(std::uint64_t version)
    {
        return wait([=](const node &each) { return each.rumorVersion >= version; });
    }

    /// Sets the applied version of all nodes at once, as a change of the configuration does.
    void apply(std::uint64_t version)
    {
        for (const auto &each : nodes)
            each->agent.setApplied(version, systemClock().mono());
    }

    void spread(std::size_t index, rumor update)
    {
        node &origin = *nodes[index % nodes.size()];
        onRumor(origin, update); // The handler is only called for rumors of other nodes.
        origin.agent.spread(std::move(update));
    }

    usage_sample measure()
    {
        const result<process_usage> stat = readProcessUsage(getpid());
        usage_sample sample;
        sample.process = succeeded(stat) ? valueOf(stat) : process_usage{};
        sample.bytes =
                metrics.counterOf("poplarspool_gossip_bytes_total{direction=\"sent\"}").get();
        sample.datagrams =
                metrics.counterOf("poplarspool_gossip_datagrams_total{direction=\"sent\"}").get();
        sample.at = steady_clock::now();
        return sample;
    }

private:
    struct node
    {
        node(cluster &owner, std::size_t index)
            : agent(settingsOf(index),
                    {[this, &owner](const auto &seen) { owner.onMembers(*this, seen); },
                     [this, &owner](const rumor &update) { owner.onRumor(*this, update); }},
                    systemClock(), owner.metrics, owner.events)
        {
            if (!succeeded(agent.start()))
                throw std::runtime_error("cannot bind a UDP socket");
        }

        std::size_t members = 0; ///< Members seen alive.
        std::uint64_t lowestAppliedVersion = 0; ///< Lowest applied version among the members seen.
        std::uint64_t rumorVersion = 0;
        gossip agent;
    };

    static peer::gossip_settings settingsOf(std::size_t index)
    {
        peer::gossip_settings settings;
        settings.self.id = instance_id{"entry-" + std::to_string(index)};
        settings.self.zone = zone_id{"colombo-" + std::to_string(index % 8)};
        settings.self.peerAddress = {"127.0.0.1", 0};
        settings.self.callerAddress = {"127.0.0.1", 8080};
        settings.self.incarnation = 1;
        settings.key = "bench";
        settings.roundInterval = config::gossipInterval;
        settings.probeTimeout = config::probeTimeout;
        settings.suspicionTimeout = config::suspicionTimeout;
        settings.fanout = config::gossipFanout;
        settings.bytesPerSecond = config::gossipBytesPerSecond;
        return settings;
    }

    void onMembers(node &at, const std::vector<policy::member> &seen)
    {
        std::uint64_t lowest = UINT64_MAX;
        std::size_t alive = 0;
        for (const policy::member &member : seen) {
            lowest = std::min(lowest, member.appliedVersion);
            alive += member.state == policy::member_state::Alive ? 1 : 0;
        }
        const std::lock_guard lock(mutex);
        at.members = alive;
        at.lowestAppliedVersion = lowest;
        changed.notify_all();
    }

    void onRumor(node &at, const rumor &update)
    {
        if (update.key != "load/marked")
            return;
        const std::lock_guard lock(mutex);
        at.rumorVersion = std::max(at.rumorVersion, update.version);
        changed.notify_all();
    }

    template <class Holds>
    double wait(Holds holds)
    {
        const auto began = steady_clock::now();
        std::unique_lock lock(mutex);
        const bool isReached = changed.wait_for(lock, convergenceTimeout, [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                               [&](const auto &each) { return each != nullptr && holds(*each); });
        });
        const std::chrono::duration<double> taken = steady_clock::now() - began;
        return isReached ? taken.count() : -1;
    }

    metrics_registry metrics;
    journal events{instance_id{"bench"}, systemClock(), 16};
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::unique_ptr<node>> nodes;
};

/// Spreads a new version of every rumor once a second, evenly over the second.
class rumor_source
{
public:
    rumor_source(cluster &to, std::size_t count)
        : thread([this, &to, count] { run(to, count); }) { }

    ~rumor_source()
    {
        isStopping = true;
        thread.join();
    }

private:
    void run(cluster &to, std::size_t count)
    {
        for (std::uint64_t version = 1; !isStopping; ++version) {
            for (std::size_t index = 0; index < count && !isStopping; ++index) {
                to.spread(index,
                          {"load/runner-" + std::to_string(index), version,
                           std::string(rumorPayloadBytes, 'x')});
                std::this_thread::sleep_for(std::chrono::nanoseconds(rumorInterval) / count);
            }
        }
    }

    std::atomic<bool> isStopping{false};
    std::thread thread;
};

void measureCluster(std::size_t count, std::size_t rumors, std::chrono::seconds measureTime)
{
    cluster all(count);
    const double joined = all.waitForAll(count, 0);
    std::unique_ptr<rumor_source> source;
    if (rumors > 0)
        source = std::make_unique<rumor_source>(all, rumors);
    std::this_thread::sleep_for(settleTime);
    const usage_sample before = all.measure();
    std::this_thread::sleep_for(measureTime);
    const usage_sample after = all.measure();
    all.apply(1);
    const double applied = all.waitForAll(count, 1);
    all.spread(0, {"load/marked", 1, std::string(rumorPayloadBytes, 'm')});
    const double received = all.waitForRumor(1);

    const std::chrono::duration<double> elapsed = after.at - before.at;
    const std::chrono::duration<double> cpu = after.process.cpuTime - before.process.cpuTime;
    const auto nodes = static_cast<double>(count);
    const double perNodeSecond = 1.0 / (elapsed.count() * nodes);
    const figures line{
            {"nodes", nodes, 0},
            {"rumors", static_cast<double>(rumors), 0},
            {"joined_s", joined, 2},
            {"bytes_per_s", static_cast<double>(after.bytes - before.bytes) * perNodeSecond, 0},
            {"datagrams_per_s",
             static_cast<double>(after.datagrams - before.datagrams) * perNodeSecond, 1},
            {"cpu_percent", cpu.count() * perNodeSecond * 100, 3},
            {"resident_kb_per_node", static_cast<double>(after.process.residentKb) / nodes, 0},
            {"applied_known_s", applied, 2},
            {"rumor_known_s", received, 2},
    };
    std::cout << lineOf(figures(line)) << std::endl;
}

cxxopts::Options optionsOfGossip()
{
    cxxopts::Options options(
            "poplarspool-bench gossip",
            "Cost of gossip for each node, and time until a change has reached all nodes.");
    options.add_options()("nodes", "Numbers of nodes in one process: N[,N…]",
                          cxxopts::value<std::string>()->default_value("3,6,12,24,48,96"))(
            "rumors", "Rumors renewed each second, over all nodes",
            cxxopts::value<std::string>()->default_value("0"))(
            "seconds", "How long to measure each number of nodes",
            cxxopts::value<std::string>()->default_value("10"));
    return options;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const std::uint64_t rumors = countOption(parsed, "rumors");
    const std::chrono::seconds measureTime(countOption(parsed, "seconds", 1));
    for (const std::string &count : splitNonEmpty(parsed["nodes"].as<std::string>(), ',')) {
        const double nodes = parseNumber(count);
        if (nodes < 2 || nodes > static_cast<double>(config::maxMembers))
            throw usage_error("--nodes must be from 2 to " + std::to_string(config::maxMembers));
        measureCluster(static_cast<std::size_t>(nodes), rumors, measureTime);
    }
    return exitSuccess;
}

} // namespace

int gossipCommand(const argument_list &arguments)
{
    cxxopts::Options options = optionsOfGossip();
    return parseAndRun(options, arguments, runFrom);
}

} // namespace poplarspool::bench
