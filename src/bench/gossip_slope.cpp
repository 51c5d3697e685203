#include "bench/gossip_slope.h"

#include "bench/command.h"
#include "bench/process_stat.h"
#include "bench/sample_stats.h"
#include "poplarspool/config.h"
#include "poplarspool/peer/gossip.h"

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

/// For what joining left behind.
constexpr std::chrono::seconds settleTime(10);
constexpr std::chrono::seconds giveUpTime(60);
constexpr std::chrono::seconds rumorInterval(1);
/// About what a runner's load takes.
constexpr std::size_t rumorPayloadBytes = 80;

struct usage_point
{
    process_stat process;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    steady_clock::time_point at;
};

/// Nodes of one process that gossip over loopback, with the product's own settings.
class cluster
{
public:
    explicit cluster(std::size_t count) : nodes(count)
    {
        for (std::size_t index = 0; index < count; ++index)
            nodes[index] = std::make_unique<node>(*this, index);
        std::vector<endpoint> contacts;
        for (std::size_t index = 0; index < std::min(count, config::gossipFanout); ++index)
            contacts.push_back(nodes[index]->talk.members().front().peerAddress);
        for (const auto &each : nodes)
            each->talk.setContacts(contacts);
    }

    /// @returns Seconds until every node sees `count` members with at least that version; -1 where
    ///          it takes too long.
    double waitForAll(std::size_t members, std::uint64_t version)
    {
        return wait([=](const node &each) {
            return each.members == members && each.atVersion >= version;
        });
    }

    double waitForRumor(std::uint64_t version)
    {
        return wait([=](const node &each) { return each.rumorVersion >= version; });
    }

    /// All at once: what a change of the configuration looks like.
    void apply(std::uint64_t version)
    {
        for (const auto &each : nodes)
            each->talk.setApplied(version, systemClock().mono());
    }

    void spread(std::size_t index, rumor news)
    {
        node &origin = *nodes[index % nodes.size()];
        onRumor(origin, news); // Its own handler is told of others' rumors only.
        origin.talk.spread(std::move(news));
    }

    usage_point measure()
    {
        const result<process_stat> stat = readProcess(getpid());
        usage_point point;
        point.process = succeeded(stat) ? valueOf(stat) : process_stat{};
        point.bytes = metrics.counterOf("poplarspool_gossip_bytes_total{direction=\"sent\"}").get();
        point.datagrams =
                metrics.counterOf("poplarspool_gossip_datagrams_total{direction=\"sent\"}").get();
        point.at = steady_clock::now();
        return point;
    }

private:
    struct node
    {
        node(cluster &owner, std::size_t index)
            : talk(settingsOf(index),
                   {[this, &owner](const auto &seen) { owner.onMembers(*this, seen); },
                    [this, &owner](const rumor &news) { owner.onRumor(*this, news); }},
                   systemClock(), owner.metrics, owner.events)
        {
            if (!succeeded(talk.start()))
                throw std::runtime_error("can't bind a UDP socket");
        }

        std::size_t members = 0; ///< Seen alive.
        std::uint64_t atVersion = 0; ///< Lowest that it has seen of a member.
        std::uint64_t rumorVersion = 0;
        gossip talk;
    };

    static peer::gossip_settings settingsOf(std::size_t index)
    {
        peer::gossip_settings choices;
        choices.self.id = instance_id{"entry-" + std::to_string(index)};
        choices.self.zone = zone_id{"colombo-" + std::to_string(index % 8)};
        choices.self.peerAddress = {"127.0.0.1", 0};
        choices.self.callerAddress = {"127.0.0.1", 8080};
        choices.self.life = 1;
        choices.key = "bench";
        choices.roundTime = config::gossipTime;
        choices.suspectTime = config::suspectTime;
        choices.deadTime = config::deadTime;
        choices.fanout = config::gossipFanout;
        choices.bytesPerSecond = config::gossipBytesPerSecond;
        return choices;
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
        at.atVersion = lowest;
        changed.notify_all();
    }

    void onRumor(node &at, const rumor &news)
    {
        if (news.key != "load/marked")
            return;
        const std::lock_guard lock(mutex);
        at.rumorVersion = std::max(at.rumorVersion, news.version);
        changed.notify_all();
    }

    template <class Holds>
    double wait(Holds holds)
    {
        const auto began = steady_clock::now();
        std::unique_lock lock(mutex);
        const bool isReached = changed.wait_for(lock, giveUpTime, [&] {
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

/// Renews all rumors once a second, in small portions.
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

void runOne(std::size_t count, std::size_t rumors, std::chrono::seconds lookTime)
{
    cluster all(count);
    const double joined = all.waitForAll(count, 0);
    std::unique_ptr<rumor_source> source;
    if (rumors > 0)
        source = std::make_unique<rumor_source>(all, rumors);
    std::this_thread::sleep_for(settleTime);
    const usage_point before = all.measure();
    std::this_thread::sleep_for(lookTime);
    const usage_point after = all.measure();
    all.apply(1);
    const double applied = all.waitForAll(count, 1);
    all.spread(0, {"load/marked", 1, std::string(rumorPayloadBytes, 'm')});
    const double heard = all.waitForRumor(1);

    const std::chrono::duration<double> elapsed = after.at - before.at;
    const std::chrono::duration<double> cpu = after.process.cpuTime - before.process.cpuTime;
    const auto nodes = static_cast<double>(count);
    const double share = 1.0 / (elapsed.count() * nodes);
    const figures line{
            {"nodes", nodes, 0},
            {"rumors", static_cast<double>(rumors), 0},
            {"joined_s", joined, 2},
            {"bytes_per_s", static_cast<double>(after.bytes - before.bytes) * share, 0},
            {"datagrams_per_s", static_cast<double>(after.datagrams - before.datagrams) * share, 1},
            {"cpu_percent", cpu.count() * share * 100, 3},
            {"resident_kb_per_node", static_cast<double>(after.process.residentKb) / nodes, 0},
            {"applied_known_s", applied, 2},
            {"rumor_known_s", heard, 2},
    };
    std::cout << lineOf(figures(line)) << std::endl;
}

cxxopts::Options optionsOfSlope()
{
    cxxopts::Options options("poplarspool-bench gossip",
                             "Cost of gossip for a node, and time until all know of a change.");
    options.add_options()("nodes", "N[,N…] in one process",
                          cxxopts::value<std::string>()->default_value("3,6,12,24,48,96"))(
            "rumors", "Rumors that are renewed each second in all",
            cxxopts::value<std::string>()->default_value("0"))(
            "seconds", "How long to look at each number of nodes",
            cxxopts::value<std::string>()->default_value("10"));
    return options;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const std::uint64_t rumors = countOption(parsed, "rumors");
    const std::chrono::seconds lookTime(countOption(parsed, "seconds", 1));
    for (const std::string &count : partsOf(parsed["nodes"].as<std::string>(), ',')) {
        const double nodes = numberIn(count);
        if (nodes < 2 || nodes > static_cast<double>(config::maxMembers))
            throw usage_error("--nodes: from 2 to " + std::to_string(config::maxMembers));
        runOne(static_cast<std::size_t>(nodes), rumors, lookTime);
    }
    return exitDone;
}

} // namespace

int gossipSlope(const words &arguments)
{
    cxxopts::Options options = optionsOfSlope();
    return runParsed(options, arguments, runFrom);
}

} // namespace poplarspool::bench
