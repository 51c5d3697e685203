#pragma once

#include "bench/address_book.h"
#include "faults/caller.h"
#include "faults/fleet.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

namespace poplarspool::faults {

struct load_spec
{
    std::size_t callers = 8; ///< Each sends its next call when one has ended.
    std::uint32_t tokens = 60; ///< Of each completion.
    std::size_t serviceEvery = 3; ///< Each Nth call is one of the service; 0: none.
    milliseconds timeLimit{15000};
};

/// Callers that go on until they are stopped, with addresses as the instances tell them.
class load
{
public:
    load(fleet &site, const load_spec &spec);
    ~load();

    /// Waits until so many more calls have ended whole.
    void waitForWhole(std::size_t more);
    /// Waits for the last answers.
    /// @returns All calls.
    std::vector<call_record> stop();

private:
    void run(std::size_t caller);

    const load_spec spec;
    const std::string name; ///< Part of each key and prompt.
    metrics_registry metrics;
    http_pool pool;
    std::vector<std::unique_ptr<bench::address_book>> books;
    std::atomic<bool> isStopping{false};
    std::atomic<std::size_t> whole{0};
    std::mutex mutex;
    std::vector<call_record> calls;
    std::vector<std::thread> threads;
};

} // namespace poplarspool::faults
