#pragma once

#include "poplarspool/base/endpoint.h"
#include "soak/answer_spec.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::soak {

using steady_time = std::chrono::steady_clock::time_point;

enum class verdict {
    Whole,
    Cut, ///< The caller sees that it is not whole.
    Refused, ///< Another status than 200, or no connection.
    FalselyWhole, ///< Complete in its framing, but not the whole text.
    Mixed, ///< It has other text than its own.
};
inline constexpr verdict allVerdicts[] = {verdict::Whole, verdict::Cut, verdict::Refused,
                                          verdict::FalselyWhole, verdict::Mixed};

std::string_view nameOf(verdict one);

struct answer_record
{
    std::string key;
    std::string route;
    framing framedBy = framing::Chunks; ///< By the runner.
    bool endsAtOnce = false;
    verdict end = verdict::Refused;
    int status = 0; ///< 0: no head.
    std::string gateway;
    steady_time begin;
    steady_time done;
    /// Of whole answers: of streams between the last event and the end, of others beyond what the
    /// runner takes.
    std::chrono::nanoseconds delay{0};
};

struct load_options
{
    std::uint64_t seed = 1;
    std::size_t callers = 12;
    double unframedShare = 0.5; ///< Of the answers.
    double firstGatewayShare = 0; ///< Of the requests; the rest goes to all alike.
    std::vector<endpoint> gateways;
};

/// Callers that send requests one after the other, over connections that they keep.
class load
{
public:
    explicit load(load_options options);
    ~load() { stop(); }

    /// Waits for the answers that are under way.
    /// @returns All answers.
    std::vector<answer_record> stop();

private:
    void runCaller(std::uint64_t index);

    const load_options options;
    std::atomic<bool> isStopping{false};
    std::mutex mutex;
    std::vector<answer_record> answers;
    std::vector<std::thread> callers;
};

} // namespace poplarspool::soak
