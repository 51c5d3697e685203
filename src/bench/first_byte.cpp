#include "bench/first_byte.h"

#include "bench/load_call.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/runner/engine.h"

#include <memory>

namespace poplarspool::bench {

namespace {

using std::chrono::nanoseconds;

constexpr milliseconds connectTimeout{1000};
constexpr milliseconds requestTimeout{10000};
constexpr std::uint32_t outputTokens = 4;
/// Pairs sent before the measured ones, to warm up connections, caches and claims.
constexpr std::uint32_t warmUpPairs = 50;

result<nanoseconds> timeViaInstance(const path_target &target, const std::string &prompt,
                                    address_cache &addressCache, http_pool &pool)
{
    load_call call;
    call.model = target.model;
    call.prompt = prompt;
    call.maxTokens = outputTokens;
    call.isStreamed = true;
    call.timeLimit = requestTimeout;
    const mono_time start = systemClock().mono();
    const call_outcome outcome =
            performCall(call, {"bench-path", "", ""}, addressCache, pool, start);
    if (outcome.end != call_end::Whole)
        return notRun(error_code::Broken, "through the instance: " + outcome.detail);
    return outcome.firstByte;
}

result<nanoseconds> timeDirect(const path_target &target, const std::string &prompt,
                               const runner::engine_api &engine)
{
    runner::generate_request request;
    request.request = request_id{randomHex128()};
    request.attempt = randomHex128();
    request.model = target.model;
    request.prompt = prompt;
    request.maxTokens = outputTokens;
    request.timeLeft = requestTimeout;
    const clock_source clock = systemClock();
    const mono_time start = clock.mono();
    mono_time first{};
    const auto onToken = [&](const runner::stream_token &token) {
        if (token.index == 0)
            first = clock.mono();
        return true;
    };
    const auto end = engine.generate(target.engine, request, onToken);
    if (!succeeded(end))
        return notRun(error_code::Broken, "direct to the engine: " + errorOf(end).message);
    return first - start;
}

/// Adds the times of a pair.
/// @returns The error if one of the two requests failed.
std::optional<error> addPair(const result<nanoseconds> &viaInstance,
                             const result<nanoseconds> &direct, first_byte_times &into)
{
    if (!succeeded(viaInstance))
        return errorOf(viaInstance);
    if (!succeeded(direct))
        return errorOf(direct);
    into.viaInstance.push_back(valueOf(viaInstance));
    into.direct.push_back(valueOf(direct));
    return std::nullopt;
}

} // namespace

result<first_byte_times> measureFirstByte(const path_target &target, std::uint32_t pairs)
{
    metrics_registry metrics;
    const auto pool = std::make_shared<http_pool>(1, connectTimeout, metrics);
    const runner::engine_api engine = runner::httpEngineApi(pool);
    address_cache addressCache({target.instance}, {"bench-path", "", ""}, *pool);
    const std::string run = randomHex128();
    first_byte_times times;
    first_byte_times warmUp;
    for (std::uint32_t pair = 0; pair < pairs + warmUpPairs; ++pair) {
        const std::string prompt = run + "-" + std::to_string(pair);
        const auto viaInstance = timeViaInstance(target, prompt + "-through", addressCache, *pool);
        const auto direct = timeDirect(target, prompt + "-straight", engine);
        if (const auto failure = addPair(viaInstance, direct, pair < warmUpPairs ? warmUp : times))
            return *failure;
    }
    return times;
}

figures figuresOf(const first_byte_times &times)
{
    figures all{{"pairs", double(times.viaInstance.size()), 0}};
    for (const double share : {0.5, 0.99}) {
        const std::string name = share < 0.9 ? "p50" : "p99";
        const double viaInstance = inMilliseconds(quantileOf(times.viaInstance, share));
        const double direct = inMilliseconds(quantileOf(times.direct, share));
        all.push_back({name + "_through_ms", viaInstance, 3});
        all.push_back({name + "_straight_ms", direct, 3});
        all.push_back({name + "_added_ms", viaInstance - direct, 3});
    }
    return all;
}

} // namespace poplarspool::bench
