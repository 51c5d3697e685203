#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>

/// `poplarspool-faults BUILD [NAME...]` runs fault-injection scenarios against real processes of
/// the build folder BUILD: all scenarios, or only those named. Prints one line per scenario. Exits
/// with 0 only if at least one scenario ran and none failed.
namespace {

using namespace poplarspool::faults;

constexpr std::size_t maxParallel = 3;
constexpr std::uint32_t firstSubnet = 20;

std::vector<scenario> selectScenarios(const std::vector<std::string> &names)
{
    std::vector<scenario> all;
    for (const auto &group : {orderScenarios(), engineChangeScenarios(), answerScenarios(),
                              atMostOnceScenarios(), drainScenarios(), configScenarios()})
        all.insert(all.end(), group.begin(), group.end());
    std::erase_if(all, [&](const scenario &selected) {
        return !names.empty()
                && std::find(names.begin(), names.end(), selected.name) == names.end();
    });
    return all;
}

/// Runs up to `maxParallel` scenarios at a time, each with its own processes and addresses.
class scenario_run
{
public:
    scenario_run(std::string build, std::vector<scenario> scenarios)
        : build(std::move(build)), scenarios(std::move(scenarios)),
          folder(std::filesystem::temp_directory_path()
                 / ("poplarspool-faults-" + std::to_string(getpid())))
    { }

    /// @returns The number of scenarios that failed.
    std::size_t run()
    {
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < std::min(maxParallel, scenarios.size()); ++index)
            threads.emplace_back([this] { runWorker(); });
        for (std::thread &thread : threads)
            thread.join();
        if (failures == 0)
            std::filesystem::remove_all(folder);
        return failures;
    }

private:
    void runWorker()
    {
        for (std::size_t index = next++; index < scenarios.size(); index = next++)
            runOne(scenarios[index], firstSubnet + static_cast<std::uint32_t>(index));
    }

    void runOne(const scenario &selected, std::uint32_t subnet)
    {
        const std::filesystem::path scenarioFolder = folder / selected.name;
        std::filesystem::create_directories(scenarioFolder);
        try {
            const outcome_counts counts = selected.run({build, scenarioFolder.string(), subnet});
            report(formatResultLine(selected.name, selected.guarantee, counts),
                   counts.hasNoViolations() ? "" : "counts");
        } catch (const std::exception &failure) {
            report("scenario=" + selected.name + " failed", failure.what());
        }
    }

    void report(const std::string &line, const std::string &fault)
    {
        const std::lock_guard lock(mutex);
        std::cout << line << std::endl;
        if (fault.empty())
            return;
        ++failures;
        std::cerr << line << " reason=\"" << fault << "\" logs=" << folder.string() << std::endl;
    }

    const std::string build;
    const std::vector<scenario> scenarios;
    const std::filesystem::path folder;
    std::atomic<std::size_t> next{0};
    std::mutex mutex;
    std::size_t failures = 0;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argumentCount < 2) {
        std::cerr << "usage: poplarspool-faults BUILD [NAME...]\n";
        return 2;
    }
    const std::vector<scenario> scenarios =
            selectScenarios({arguments + 2, arguments + argumentCount});
    const std::size_t failures = scenario_run(arguments[1], scenarios).run();
    std::cout << "faults: " << scenarios.size() - failures << " of " << scenarios.size()
              << " scenarios held" << std::endl;
    return failures == 0 && !scenarios.empty() ? 0 : 1;
}
