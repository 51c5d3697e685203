#include "faults/scenarios.h"
#include "faults/waiting.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>

/// `poplarspool-faults BUILD [NAME...]`: real processes under the failures that the fleet has to
/// stand. Prints one line a scenario and ends with 0 only if all of them held.
namespace {

using namespace poplarspool::faults;

constexpr std::size_t atOnce = 3;
constexpr std::uint32_t firstNet = 20;

std::vector<scenario> chosen(const std::vector<std::string> &names)
{
    std::vector<scenario> all;
    for (const auto &group : {orderScenarios(), changeScenarios(), answerScenarios(),
                              onceScenarios(), leavingScenarios(), configScenarios()})
        all.insert(all.end(), group.begin(), group.end());
    std::erase_if(all, [&](const scenario &one) {
        return !names.empty() && std::find(names.begin(), names.end(), one.name) == names.end();
    });
    return all;
}

/// Runs scenarios, a few side by side, each with processes and addresses of its own.
class scenario_run
{
public:
    scenario_run(std::string build, std::vector<scenario> scenarios)
        : build(std::move(build)), scenarios(std::move(scenarios)),
          folder(std::filesystem::temp_directory_path()
                 / ("poplarspool-faults-" + std::to_string(getpid())))
    { }

    /// @returns How many failed.
    std::size_t run()
    {
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < std::min(atOnce, scenarios.size()); ++index)
            threads.emplace_back([this] { work(); });
        for (std::thread &thread : threads)
            thread.join();
        if (failures == 0)
            std::filesystem::remove_all(folder);
        return failures;
    }

private:
    void work()
    {
        for (std::size_t index = next++; index < scenarios.size(); index = next++)
            runOne(scenarios[index], firstNet + static_cast<std::uint32_t>(index));
    }

    void runOne(const scenario &one, std::uint32_t net)
    {
        const std::filesystem::path place = folder / one.name;
        std::filesystem::create_directories(place);
        try {
            const tally counts = one.run({build, place.string(), net});
            report(lineOf(one.name, one.point, counts), counts.isClean() ? "" : "counts");
        } catch (const std::exception &failure) {
            report("scenario=" + one.name + " failed", failure.what());
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

int main(int count, char **words)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count < 2) {
        std::cerr << "usage: poplarspool-faults BUILD [NAME...]\n";
        return 2;
    }
    const std::vector<scenario> scenarios = chosen({words + 2, words + count});
    const std::size_t failures = scenario_run(words[1], scenarios).run();
    std::cout << "faults: " << scenarios.size() - failures << " of " << scenarios.size()
              << " scenarios held" << std::endl;
    return failures == 0 && !scenarios.empty() ? 0 : 1;
}
