#pragma once

#include "adapter/gateway_fleet.h"

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::adapter::test {

/// A prompt that no runner has cached, so that another engine prefills it first.
inline http_headers nextPrompt()
{
    static std::atomic<int> prompts{0};
    const std::string part = std::to_string(++prompts);
    return {{"X-Token-Count", "1000,20"}, {"X-Prompt-Prefix", part + "a:900," + part + "b:100"}};
}

/// Callers that each send some six requests per second until they are destroyed: one at each of
/// the instances.
class steady_load
{
public:
    /// @param first The first of the instances that get requests.
    explicit steady_load(gateway_fleet &fleet, std::size_t first = 0)
    {
        for (std::size_t i = first; i < fleet.size(); ++i) {
            threads.emplace_back([this, &fleet, i] {
                while (!isStopping) {
                    const int status = fleet.sendRequest(i, "x", nextPrompt());
                    served += status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(std::chrono::milliseconds(165));
                }
            });
        }
    }

    ~steady_load()
    {
        isStopping = true;
        for (std::thread &each : threads)
            each.join();
    }

    int servedCount() const { return served; }

private:
    std::atomic<bool> isStopping{false};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
};

/// The routes of a service `s`.
/// @param kind Kind of the route's requests.
/// @param isEngine Whether its runners are model engines.
inline std::string routesSpec(const std::string &kind, bool isEngine)
{
    const std::string traits = isEngine ? R"(,"engine":{"slots":64,"kvCapacity":800000,)"
                                          R"("kvTokenBytes":18432,"linkMbps":100000})"
                                        : "";
    return R"({"version":1,"services":[{"name":"s")" + traits
            + R"(}],"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":")" + kind
            + R"(","resumable":true,"service":"s","attempts":2,"timeoutMs":3000,)"
              R"("targetLatencyMs":1000}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

} // namespace poplarspool::adapter::test
