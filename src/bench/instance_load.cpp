#include "bench/instance_load.h"

#include "bench/answer_check.h"
#include "bench/answer_reader.h"
#include "bench/load_run.h"
#include "bench/process_usage.h"
#include "poplarspool/base/hash.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

namespace {

constexpr milliseconds connectTimeout{2000};
constexpr milliseconds streamTimeout{120000};
/// Maximum wait for all streams to be open.
constexpr std::chrono::seconds openTimeout{60};

load_options throughputLoad(const path_target &target, std::uint32_t connections,
                            std::chrono::seconds time)
{
    load_options options;
    options.plan.run = randomHex128();
    options.plan.mix = {{16, 4}};
    options.plan.models = {target.model};
    options.plan.streamShare = 0.5;
    options.seeds = {target.instance};
    options.identity.caller = "bench-throughput";
    options.callers = 1;
    options.streams = connections;
    options.time = time;
    return options;
}

/// Counts the streams that have started and not ended.
class stream_count
{
public:
    void recordStart()
    {
        const std::lock_guard lock(mutex);
        ++open;
        changed.notify_all();
    }

    void recordEnd(bool wasStarted, bool isWhole)
    {
        const std::lock_guard lock(mutex);
        open -= wasStarted ? 1 : 0;
        whole += isWhole ? 1 : 0;
        ++endedCount;
        changed.notify_all();
    }

    /// Waits until that many streams are open, one has ended or `openTimeout` has passed.
    /// @returns The number of open streams.
    std::uint32_t waitUntilOpen(std::uint32_t requested)
    {
        std::unique_lock lock(mutex);
        changed.wait_for(lock, openTimeout, [&] { return open >= requested || endedCount > 0; });
        return open;
    }

    std::uint32_t wholeCount() const
    {
        const std::lock_guard lock(mutex);
        return whole;
    }

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::uint32_t open = 0;
    std::uint32_t endedCount = 0;
    std::uint32_t whole = 0;
};

http_request streamRequest(const std::string &model, const std::string &prompt,
                           std::uint32_t tokens)
{
    const nlohmann::json body = {
            {"model", model}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}};
    const http_headers headers{
            {"Poplarspool-Time-Limit-Ms", std::to_string(streamTimeout.count())}};
    return http_request{"POST", "/v1/completions", headers, body.dump(), "application/json"};
}

void holdStream(const path_target &target, const std::string &prompt, std::uint32_t tokens,
                http_pool &pool, stream_count &count)
{
    const clock_source clock = systemClock();
    stream_answer_reader reader(clock);
    bool isStarted = false;
    const auto onHead = [](const http_reply &head) { return head.status == 200; };
    const auto onPiece = [&](std::string_view piece) {
        const bool shouldContinue = reader.feed(piece);
        if (!isStarted && !reader.answer().text.empty()) {
            isStarted = true;
            count.recordStart();
        }
        return shouldContinue;
    };
    const auto sent = pool.stream(target.instance, streamRequest(target.model, prompt, tokens),
                                  streamTimeout, onHead, onPiece);
    const completion_answer &answer = reader.answer();
    const bool isWhole = succeeded(sent) && answer.hasEnd
            && checkAnswer(prompt, tokens, answer.text) == answer_state::Whole;
    count.recordEnd(isStarted, isWhole);
}

} // namespace

result<throughput> measureThroughput(const path_target &target, std::uint32_t connections,
                                     std::chrono::seconds time)
{
    const auto before = readProcessUsage(target.instancePid);
    const load_summary load = runLoad(throughputLoad(target, connections, time));
    const auto after = readProcessUsage(target.instancePid);
    if (!succeeded(before))
        return errorOf(before);
    if (!succeeded(after))
        return errorOf(after);
    const std::chrono::duration<double> cpu = valueOf(after).cpuTime - valueOf(before).cpuTime;
    const double seconds = std::chrono::duration<double>(load.elapsed).count();
    const auto whole = double(load.whole);
    return throughput{load.requests, load.requests - load.whole, whole / seconds,
                      cpu.count() > 0 ? whole / cpu.count() : 0};
}

result<open_streams> measureStreams(const path_target &target, std::uint32_t streams,
                                    std::uint32_t tokens)
{
    metrics_registry metrics;
    http_pool pool(1, connectTimeout, metrics);
    stream_count count;
    const std::string run = randomHex128();
    const auto before = readProcessUsage(target.instancePid);
    std::vector<std::thread> threads;
    for (std::uint32_t index = 0; index < streams; ++index) {
        threads.emplace_back([&, prompt = run + "-" + std::to_string(index)] {
            holdStream(target, prompt, tokens, pool, count);
        });
    }
    const std::uint32_t open = count.waitUntilOpen(streams);
    const auto atOpen = readProcessUsage(target.instancePid);
    for (std::thread &thread : threads)
        thread.join();
    if (!succeeded(before))
        return errorOf(before);
    if (!succeeded(atOpen))
        return errorOf(atOpen);
    return open_streams{streams, open, count.wholeCount(), valueOf(before).residentKb,
                        valueOf(atOpen).residentKb};
}

figures figuresOf(const throughput &measured)
{
    return {{"requests", double(measured.requests), 0},
            {"failed", double(measured.failed), 0},
            {"requests_per_second", measured.perSecond, 0},
            {"requests_per_core_second", measured.perCoreSecond, 0}};
}

figures figuresOf(const open_streams &measured)
{
    return {{"streams", double(measured.requested), 0},
            {"open", double(measured.open), 0},
            {"whole", double(measured.whole), 0},
            {"resident_before_kb", double(measured.beforeKb), 0},
            {"resident_open_kb", double(measured.openKb), 0}};
}

} // namespace poplarspool::bench
