#include "bench/first_byte.h"

#include "bench/load_call.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/runner/engine.h"

#include <memory>

namespace poplarspool::bench {

namespace {

using std::chrono::nanoseconds;

constexpr milliseconds connectTime{1000};
constexpr milliseconds requestTime{10000};
constexpr std::uint32_t outputTokens = 4;
/// Pairs sent before the measured ones: connections, caches and claims are then warm.
constexpr std::uint32_t warmPairs = 50;

result<nanoseconds> timeThrough(const path_target &target, const std::string &prompt,
                                address_book &book, http_pool &pool)
{
    load_call call;
    call.model = target.model;
    call.prompt = prompt;
    call.maxTokens = outputTokens;
    call.isStreamed = true;
    call.timeLimit = requestTime;
    const mono_time start = systemClock().mono();
    const call_outcome outcome = performCall(call, {"bench-path", "", ""}, book, pool, start);
    if (outcome.end != call_end::Whole)
        return notRun(error_code::Broken, "through the instance: " + outcome.detail);
    return outcome.firstByte;
}

result<nanoseconds> timeStraight(const path_target &target, const std::string &prompt,
                                 const runner::engine_api &engine)
{
    runner::generate_request request;
    request.request = request_id{randomHex128()};
    request.attempt = randomHex128();
    request.model = target.model;
    request.prompt = prompt;
    request.maxTokens = outputTokens;
    request.timeLeft = requestTime;
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
        return notRun(error_code::Broken, "straight: " + errorOf(end).message);
    return first - start;
}

/// @returns Nothing, or why one of the two failed.
std::optional<error> addPair(const result<nanoseconds> &through,
                             const result<nanoseconds> &straight, first_byte_times &into)
{
    if (!succeeded(through))
        return errorOf(through);
    if (!succeeded(straight))
        return errorOf(straight);
    into.through.push_back(valueOf(through));
    into.straight.push_back(valueOf(straight));
    return std::nullopt;
}

} // namespace

result<first_byte_times> measureFirstByte(const path_target &target, std::uint32_t pairs)
{
    metrics_registry metrics;
    const auto pool = std::make_shared<http_pool>(1, connectTime, metrics);
    const runner::engine_api engine = runner::httpEngineApi(pool);
    address_book book({target.instance}, {"bench-path", "", ""}, *pool);
    const std::string run = randomHex128();
    first_byte_times times;
    first_byte_times warm;
    for (std::uint32_t pair = 0; pair < pairs + warmPairs; ++pair) {
        const std::string prompt = run + "-" + std::to_string(pair);
        const auto through = timeThrough(target, prompt + "-through", book, *pool);
        const auto straight = timeStraight(target, prompt + "-straight", engine);
        if (const auto failure = addPair(through, straight, pair < warmPairs ? warm : times))
            return *failure;
    }
    return times;
}

figures figuresOf(const first_byte_times &times)
{
    figures all{{"pairs", double(times.through.size()), 0}};
    for (const double share : {0.5, 0.99}) {
        const std::string name = share < 0.9 ? "p50" : "p99";
        const double through = inMilliseconds(quantileOf(times.through, share));
        const double straight = inMilliseconds(quantileOf(times.straight, share));
        all.push_back({name + "_through_ms", through, 3});
        all.push_back({name + "_straight_ms", straight, 3});
        all.push_back({name + "_added_ms", through - straight, 3});
    }
    return all;
}

} // namespace poplarspool::bench
