#include "bench/routes.h"

#include "bench/command.h"
#include "bench/sample_stats.h"
#include "platform/decode.h"
#include "platform/names.h"
#include "poplarspool/gateway/catalogue_updater.h"
#include "poplarspool/gateway/route_index.h"

#include <array>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace poplarspool::bench {

namespace {

namespace wire = adapter::wire;

constexpr std::array<std::uint32_t, 4> sizes{16, 400, 2'000, 5'000};
constexpr std::uint32_t hostCount = 4;
constexpr std::uint32_t serviceCount = 20;
constexpr std::uint32_t lookupsEach = 64; ///< Lookups of one sample.
constexpr std::uint32_t lookupSamples = 2'000;
constexpr std::uint32_t changeCount = 40;
constexpr std::uint64_t seed = 1;
constexpr milliseconds gracePeriod{2'000};

std::string hostOf(std::uint32_t number)
{
    return "host-" + std::to_string(number % hostCount) + ".example";
}

std::string prefixOf(std::uint32_t number)
{
    return "/v1/route-" + std::to_string(number) + "/";
}

/// @returns The operators' configuration. Each version changes the time limit of one route.
std::string configurationOf(std::uint32_t size, std::uint32_t version)
{
    auto routes = nlohmann::json::array();
    for (std::uint32_t i = 0; i < size; ++i)
        routes.push_back({{wire::name, "route-" + std::to_string(i)},
                          {wire::routeHost, hostOf(i)},
                          {wire::routePrefix, prefixOf(i)},
                          {wire::routeKind, wire::kindIdempotent},
                          {wire::routeTimeLimitMs, i == version % size ? 5'000 + version : 5'000},
                          {wire::routeLatencyObjectiveMs, 800},
                          {wire::routeRank, 1},
                          {wire::routeMaxRunners, 2},
                          {wire::routeService, "service-" + std::to_string(i % serviceCount)}});
    auto services = nlohmann::json::array();
    for (std::uint32_t i = 0; i < serviceCount; ++i)
        services.push_back({{wire::name, "service-" + std::to_string(i)}});
    return nlohmann::json{{wire::version, version},
                          {wire::routes, routes},
                          {wire::services, services},
                          {wire::limits,
                           {{wire::limitHeaderBytes, 16'384},
                            {wire::limitBodyBytes, 4'194'304},
                            {wire::limitHeaderMs, 3'000},
                            {wire::limitIdleMs, 15'000}}}}
            .dump();
}

gateway::route_table tableOf(const std::string &text)
{
    return valueOf(adapter::decodeRoutes(nlohmann::json::parse(text))).table;
}

/// @returns CPU time of this thread, so that other load on the machine is not measured.
std::chrono::nanoseconds threadCpuTime()
{
    std::timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

template <class Work>
std::chrono::nanoseconds timeOf(const Work &work)
{
    const auto before = threadCpuTime();
    work();
    return threadCpuTime() - before;
}

struct request_line
{
    std::string host;
    std::string path;
};

/// @returns Requests to random routes; one in eight names a host that does not match the route.
std::vector<request_line> makeRequests(std::uint32_t size)
{
    std::mt19937_64 random(seed);
    std::vector<request_line> requests;
    for (std::uint32_t i = 0; i < lookupsEach * lookupSamples; ++i) {
        const auto number = static_cast<std::uint32_t>(random() % size);
        const std::uint32_t host = random() % 8 == 0 ? number + 1 : number;
        requests.push_back({hostOf(host) + ":8080", prefixOf(number) + "items/17?page=2"});
    }
    return requests;
}

void benchLookup(std::uint32_t size)
{
    const gateway::route_table table = tableOf(configurationOf(size, 1));
    const gateway::route_index index = gateway::buildRouteIndex(table);
    const std::vector<request_line> requests = makeRequests(size);
    durations times;
    std::size_t found = 0;
    for (std::size_t first = 0; first < requests.size(); first += lookupsEach) {
        const auto time = timeOf([&] {
            for (std::size_t i = first; i < first + lookupsEach; ++i) {
                const request_line &one = requests[i];
                found += gateway::findRoute(table, index, one.host, one.path) != nullptr ? 1 : 0;
            }
        });
        times.push_back(time / lookupsEach);
    }
    const auto nanoseconds = [&](double share) {
        return static_cast<double>(quantileOf(times, share).count());
    };
    std::cout << "lookup "
              << lineOf({{"routes", static_cast<double>(size), 0},
                         {"p50_ns", nanoseconds(0.5), 0},
                         {"p99_ns", nanoseconds(0.99), 0},
                         {"count", static_cast<double>(requests.size()), 0},
                         {"found", static_cast<double>(found), 0}})
              << std::endl;
}

struct change_times
{
    durations parse; ///< Parsing the JSON text of the store.
    durations decode; ///< Decoding the JSON into a route table.
    durations publish; ///< Applying the table until requests use it.
    durations encodeUpdate; ///< Encoding the update for the other instances.
    durations decodeUpdate; ///< Decoding the update at another instance.
    durations relay; ///< Total of an instance that watches the store and sends the update.
    durations receiver; ///< Total of an instance that receives the update.
};

/// @returns Size of the update for the other instances in bytes; 0 if it cannot be sent.
std::size_t applyChange(std::uint32_t size, std::uint32_t version,
                        gateway::catalogue_updater &updater, change_times &times)
{
    const std::string text = configurationOf(size, version);
    const auto before = updater.table();
    nlohmann::json spec;
    gateway::route_table table;
    result<std::string> update = std::string();
    times.parse.push_back(timeOf([&] { spec = nlohmann::json::parse(text); }));
    times.decode.push_back(timeOf([&] { table = valueOf(adapter::decodeRoutes(spec)).table; }));
    times.publish.push_back(timeOf([&] { updater.setTable(std::move(table)); }));
    times.encodeUpdate.push_back(
            timeOf([&] { update = gateway::encode(*updater.table(), *before); }));
    times.decodeUpdate.push_back(timeOf([&] {
        if (succeeded(update))
            update = succeeded(gateway::decodeRouteTable(valueOf(update), *before))
                    ? update
                    : result<std::string>(std::string());
    }));
    times.relay.push_back(times.parse.back() + times.decode.back() + times.publish.back()
                          + times.encodeUpdate.back());
    times.receiver.push_back(times.decodeUpdate.back() + times.publish.back());
    return succeeded(update) ? valueOf(update).size() : 0;
}

void benchChange(std::uint32_t size)
{
    gateway::catalogue_publisher publisher{gateway::catalogue{}};
    journal events({"bench"}, systemClock(), changeCount);
    gateway::catalogue_updater updater(publisher, gracePeriod, systemClock(), events);
    updater.setTable(tableOf(configurationOf(size, 1)));
    change_times times;
    std::size_t bytes = 0;
    for (std::uint32_t i = 0; i < changeCount; ++i)
        bytes = applyChange(size, i + 2, updater, times);
    const auto microseconds = [](const durations &some) {
        return static_cast<double>(quantileOf(some, 0.5).count()) / 1e3;
    };
    std::cout << "change "
              << lineOf({{"routes", static_cast<double>(size), 0},
                         {"parse_us", microseconds(times.parse), 0},
                         {"read_us", microseconds(times.decode), 0},
                         {"set_us", microseconds(times.publish), 0},
                         {"tell_us", microseconds(times.encodeUpdate), 0},
                         {"hear_us", microseconds(times.decodeUpdate), 0},
                         {"follower_us", microseconds(times.relay), 0},
                         {"told_us", bytes == 0 ? 0 : microseconds(times.receiver), 0},
                         {"told_bytes", static_cast<double>(bytes), 0},
                         {"count", changeCount, 0}})
              << std::endl;
}

} // namespace

int routesCommand(const std::vector<std::string> &arguments)
{
    if (!arguments.empty()) {
        std::cerr << "unexpected argument: " << arguments.front() << '\n';
        return exitUsage;
    }
    for (const std::uint32_t size : sizes)
        benchLookup(size);
    for (const std::uint32_t size : sizes)
        benchChange(size);
    return exitSuccess;
}

} // namespace poplarspool::bench
