#include "bench/command.h"
#include "faults/waiting.h"
#include "soak/report.h"
#include "soak/runner_process.h"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <thread>

/// `poplarspool-soak GATEWAY --kind KIND --seed N --seconds S` sends a steady load to gateways of
/// the program GATEWAY while faults of the kind are injected, and checks each answer. Exits with 1
/// if an answer that is not whole passed as whole or has foreign text, and with 2 if the soak could
/// not run, or if it ends runs and has interrupted no answer that only its connection ends.
namespace {

using namespace poplarspool;
using namespace poplarspool::soak;

/// The gateways have to know each other and the runners.
constexpr std::chrono::seconds meetingTime{4};

int runRunner(const bench::argument_list &arguments)
{
    cxxopts::Options options("poplarspool-soak runner", "A runner of the soak.");
    options.add_options()("id", "", cxxopts::value<std::string>())(
            "at", "", cxxopts::value<std::string>())("processes", "")("serves-on", "");
    return bench::parseAndRun(options, arguments, [](const cxxopts::ParseResult &parsed) -> int {
        runAsRunner({parsed["id"].as<std::string>(), bench::endpointOption(parsed, "at"),
                     parsed.count("processes") > 0, parsed.count("serves-on") > 0});
    });
}

struct soak_options
{
    std::string gateway;
    std::string kind;
    std::uint64_t seed = 1;
    std::chrono::seconds time{60};
    std::uint32_t outliveMs = 0;
    std::size_t callers = 12;
    double unframedShare = 0.5;
    double minWholeShare = 0;
    bool keepsLogs = false;
};

/// The other kinds may leave each answer of a runner whole.
bool endsRuns(const std::string &kind)
{
    return kind != "none" && kind != "refused-links" && !kind.starts_with("carrier-");
}

int runSoak(const soak_options &given)
{
    const std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe");
    const std::filesystem::path folder = std::filesystem::temp_directory_path()
            / ("poplarspool-soak-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    fleet processes({std::filesystem::absolute(given.gateway), own,
                     own.parent_path() / "libpoplarspool-refused-links.so", folder});
    processes.start();
    std::this_thread::sleep_for(meetingTime);
    load_options loading;
    loading.seed = given.seed;
    loading.callers = given.callers;
    loading.unframedShare = given.unframedShare;
    loading.firstGatewayShare =
            given.kind.starts_with("carrier-") || given.kind == "refused-links" ? 0.7 : 0;
    for (const gateway_process &one : processes.gateways)
        loading.gateways.push_back(one.callers());
    load callers(loading);
    fault_series series(processes, given.seed);
    series.run(given.kind, given.outliveMs, given.time);
    // Answers that wait for a frozen gateway end as well.
    for (const gateway_process &one : processes.gateways)
        one.process->unfreeze();
    const std::vector<answer_record> answers = callers.stop();
    std::cout << "kind=" << given.kind << " seed=" << given.seed
              << " seconds=" << given.time.count();
    for (const auto &[kind, count] : series.counts())
        std::cout << ' ' << kind << '=' << count;
    std::cout << '\n';
    const soak_result result = report(answers, series.disturbances(), folder);
    if (result.wrong > 0 || given.keepsLogs)
        std::cout << "logs=" << folder.string() << std::endl;
    else
        std::filesystem::remove_all(folder);
    if (result.wrong > 0 || result.quietWholeShare < given.minWholeShare)
        return 1;
    return result.interrupted == 0 && endsRuns(given.kind) ? 2 : 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const bench::argument_list given(arguments + 1, arguments + argumentCount);
    if (!given.empty() && given.front() == "runner")
        return runRunner({given.begin() + 1, given.end()});
    cxxopts::Options options("poplarspool-soak", "Faults and load on real processes.");
    options.positional_help("GATEWAY");
    options.add_options()("gateway", "Path of the program", cxxopts::value<std::string>())(
            "kind", "A kind of fault, mixed or none",
            cxxopts::value<std::string>()->default_value("mixed"))(
            "seed", "Of the load and the faults",
            cxxopts::value<std::string>()->default_value("1"))(
            "seconds", "Time of load", cxxopts::value<std::string>()->default_value("60"))(
            "outlive-ms", "Time for which listeners outlive their run; 0: various",
            cxxopts::value<std::string>()->default_value("0"))(
            "callers", "Concurrent callers", cxxopts::value<std::string>()->default_value("12"))(
            "unframed-share", "Share of the answers without a length",
            cxxopts::value<std::string>()->default_value("0.5"))(
            "min-whole-share", "Of answers without a length in undisturbed spans",
            cxxopts::value<std::string>()->default_value("0"))("keep-logs", "");
    options.parse_positional({"gateway"});
    return bench::parseAndRun(options, given, [](const cxxopts::ParseResult &parsed) {
        soak_options soak;
        soak.gateway = parsed["gateway"].as<std::string>();
        soak.kind = parsed["kind"].as<std::string>();
        soak.seed = bench::countOption(parsed, "seed");
        soak.time = std::chrono::seconds(bench::countOption(parsed, "seconds", 1));
        soak.outliveMs = static_cast<std::uint32_t>(bench::countOption(parsed, "outlive-ms"));
        soak.callers = bench::countOption(parsed, "callers", 1);
        soak.unframedShare = bench::parseNumber(parsed["unframed-share"].as<std::string>());
        soak.minWholeShare = bench::parseNumber(parsed["min-whole-share"].as<std::string>());
        soak.keepsLogs = parsed.count("keep-logs") > 0;
        try {
            return runSoak(soak);
        } catch (const faults::expectation_failed &failure) {
            std::cerr << "poplarspool-soak: " << failure.what() << '\n';
            return 2;
        }
    });
}
