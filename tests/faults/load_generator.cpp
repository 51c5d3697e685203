#include "faults/load_generator.h"

#include "faults/waiting.h"
#include "poplarspool/base/hash.h"

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 16;
constexpr milliseconds connectTimeout{500};

} // namespace

load_generator::load_generator(test_fleet &fleet, const load_spec &spec)
    : spec(spec), runId(randomHex128()), pool(idlePerTarget, connectTimeout, metrics)
{
    for (std::size_t caller = 0; caller < spec.callers; ++caller)
        addressCaches.push_back(std::make_unique<bench::address_cache>(
                fleet.callerAddresses(),
                bench::caller_identity{"caller-" + std::to_string(caller), "", ""}, pool));
    for (std::size_t caller = 0; caller < spec.callers; ++caller)
        threads.emplace_back([this, caller] { run(caller); });
}

load_generator::~load_generator()
{
    stop();
}

void load_generator::run(std::size_t caller)
{
    for (std::size_t callNumber = 0; !isStopping; ++callNumber) {
        const std::string callId =
                runId + '-' + std::to_string(caller) + '-' + std::to_string(callNumber);
        const bool isService = spec.serviceEvery != 0 && callNumber % spec.serviceEvery == 0;
        const call_spec call{isService ? callId : "", "case " + callId, spec.tokens,
                             spec.timeLimit};
        call_record record = callWithRetries(call, addressCaches[caller]->addresses(), pool);
        wholeCount += record.outcome == call_outcome::Whole ? 1 : 0;
        const std::lock_guard lock(mutex);
        calls.push_back(std::move(record));
    }
}

void load_generator::waitForWholeAnswers(std::size_t count)
{
    const std::size_t expected = wholeCount + count;
    waitUntil(std::to_string(count) + " more complete answers",
              [&] { return wholeCount >= expected; });
}

std::vector<call_record> load_generator::stop()
{
    isStopping = true;
    for (std::thread &thread : threads)
        thread.join();
    threads.clear();
    return calls;
}

} // namespace poplarspool::faults
