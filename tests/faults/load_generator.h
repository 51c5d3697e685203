#pragma once

#include "bench/address_cache.h"
#include "faults/caller.h"
#include "faults/test_fleet.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

namespace poplarspool::faults {

struct load_spec
{
    std::size_t callers = 8; ///< Each sends its next call when the previous one has ended.
    std::uint32_t tokens = 60; ///< Of each completion.
    std::size_t serviceEvery = 3; ///< Every Nth call of a caller is a service call; 0: none.
    milliseconds timeLimit{15000};
};

/// Runs callers until it is stopped. They use the addresses that the instances publish.
class load_generator
{
public:
    load_generator(test_fleet &fleet, const load_spec &spec);
    ~load_generator();

    /// Waits until that many further calls have been answered completely.
    void waitForWholeAnswers(std::size_t count);
    /// Stops sending, and waits for the outstanding answers.
    /// @returns All calls of this run.
    std::vector<call_record> stop();

private:
    void run(std::size_t caller);

    const load_spec spec;
    const std::string runId; ///< Part of each key and prompt.
    metrics_registry metrics;
    http_pool pool;
    std::vector<std::unique_ptr<bench::address_cache>> addressCaches;
    std::atomic<bool> isStopping{false};
    std::atomic<std::size_t> wholeCount{0};
    std::mutex mutex;
    std::vector<call_record> calls;
    std::vector<std::thread> threads;
};

} // namespace poplarspool::faults
