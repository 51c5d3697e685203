#include "standin.h"

#include <algorithm>

/// The machines are stopped and started in turn, and settings files change meanwhile: each process
/// gets SIGHUP, also the one that has just been started. No process may end by itself.

using namespace standin;

namespace {

constexpr int machineCount = 3;
constexpr int rounds = 5;
/// From the start of the program to the signal.
constexpr double signalAfterSeconds = 0.002;
/// Time after which the platform starts a process again that has ended.
constexpr double restartSeconds = 0.3;
/// RULES.md, Fault: three times on a tenth of the machines, two at least.
constexpr int endsOnOneMachine = 3;
constexpr int machinesAtLeast = 2;

} // namespace

int main(int count, char **arguments)
{
    case_run run(count, arguments);
    store platform;
    const std::string net = freeNet(machineCount);
    const address storeAt = platform.addAccess("platform");
    std::vector<std::unique_ptr<gateway>> machines;
    for (int i = 0; i < machineCount; ++i) {
        const std::string name = "gateway-" + std::to_string(i);
        machines.push_back(
                std::make_unique<gateway>(name, net + std::to_string(10 + i), storeAt, run.folder));
    }
    platform.put("config", "main", manifestOf(3, json::array(), {}));
    for (const auto &one : machines)
        one->start();
    for (const auto &one : machines) {
        if (!one->waitUntilReady(10))
            run.finish(2, "a gateway isn't ready");
    }
    std::vector<int> ends(machineCount);
    for (int turn = 0; turn < rounds * machineCount; ++turn) {
        gateway &one = *machines[turn % machineCount];
        one.signal(SIGTERM);
        record::line("%s gets SIGTERM", one.name.c_str());
        if (!one.waitForEnd(9))
            run.finish(2, "a gateway doesn't end after SIGTERM");
        one.start();
        record::line("%s is started", one.name.c_str());
        if (run.hasTrouble) {
            one.waitForProgram();
            sleepFor(signalAfterSeconds);
            for (const auto &each : machines)
                each->signal(SIGHUP);
            record::line("all processes get SIGHUP");
        }
        while (const auto status = one.waitForEnd(0.15)) {
            ++ends[turn % machineCount];
            record::line("%s has ended by itself: %s %d", one.name.c_str(),
                         WIFSIGNALED(*status) ? "signal" : "status",
                         WIFSIGNALED(*status) ? WTERMSIG(*status) : WEXITSTATUS(*status));
            sleepFor(restartSeconds);
            one.start();
            record::line("%s is started again", one.name.c_str());
        }
        if (!one.waitUntilReady(10))
            run.finish(2, "a gateway isn't ready after its start");
        record::line("%s is ready", one.name.c_str());
    }
    const auto often = std::ranges::count_if(ends, [](int one) { return one >= endsOnOneMachine; });
    std::string text = "ends by themselves, by machine:";
    for (const int one : ends)
        text += " " + std::to_string(one);
    run.finish(often >= machinesAtLeast ? 1 : 0, text);
}
