#include "faults/load.h"

#include "faults/waiting.h"
#include "poplarspool/base/hash.h"

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 16;
constexpr milliseconds connectTime{500};

} // namespace

load::load(fleet &site, const load_spec &spec)
    : spec(spec), name(randomHex128()), pool(idlePerTarget, connectTime, metrics)
{
    for (std::size_t caller = 0; caller < spec.callers; ++caller)
        books.push_back(std::make_unique<bench::address_book>(
                site.callerAddresses(),
                bench::caller_identity{"caller-" + std::to_string(caller), "", ""}, pool));
    for (std::size_t caller = 0; caller < spec.callers; ++caller)
        threads.emplace_back([this, caller] { run(caller); });
}

load::~load()
{
    stop();
}

void load::run(std::size_t caller)
{
    for (std::size_t turn = 0; !isStopping; ++turn) {
        const std::string own = name + '-' + std::to_string(caller) + '-' + std::to_string(turn);
        const bool isService = spec.serviceEvery != 0 && turn % spec.serviceEvery == 0;
        const wanted_call call{isService ? own : "", "case " + own, spec.tokens, spec.timeLimit};
        call_record record = performCall(call, books[caller]->addresses(), pool);
        whole += record.end == call_end::Whole ? 1 : 0;
        const std::lock_guard lock(mutex);
        calls.push_back(std::move(record));
    }
}

void load::waitForWhole(std::size_t more)
{
    const std::size_t wanted = whole + more;
    waitUntil(std::to_string(more) + " more whole answers", [&] { return whole >= wanted; });
}

std::vector<call_record> load::stop()
{
    isStopping = true;
    for (std::thread &thread : threads)
        thread.join();
    threads.clear();
    return calls;
}

} // namespace poplarspool::faults
