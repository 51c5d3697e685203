#include "bench/load_run.h"

#include "bench/service_records.h"

#include <atomic>
#include <filesystem>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

namespace {

constexpr std::size_t maxDetails = 10;
constexpr milliseconds connectTimeout{1000};

std::string_view nameOf(call_end end)
{
    switch (end) {
    case call_end::Whole:
        return "whole";
    case call_end::Refused:
        return "refused";
    case call_end::MayHaveRun:
        return "may_have_run";
    case call_end::Doubled:
        return "doubled";
    case call_end::Cut:
        return "cut";
    case call_end::Wrong:
        break;
    }
    return "wrong";
}

std::uint64_t &countOf(load_summary &summary, call_end end)
{
    switch (end) {
    case call_end::Whole:
        return summary.whole;
    case call_end::Refused:
        return summary.refused;
    case call_end::MayHaveRun:
        return summary.mayHaveRun;
    case call_end::Doubled:
        return summary.doubled;
    case call_end::Cut:
        return summary.cut;
    case call_end::Wrong:
        break;
    }
    return summary.wrong;
}

/// Collects the outcomes of all threads.
class outcome_table
{
public:
    void add(const load_call &call, const call_outcome &outcome)
    {
        const std::lock_guard lock(mutex);
        ++summary.requests;
        ++countOf(summary, outcome.end);
        summary.notRun += outcome.notRunAnswers;
        if (!call.idempotencyKey.empty())
            endByKey[call.idempotencyKey] = outcome.end;
        if (outcome.end == call_end::Whole)
            summary.firstBytes.push_back(outcome.firstByte);
        else if (summary.details.size() < maxDetails)
            summary.details.push_back(std::string(nameOf(outcome.end)) + ": " + outcome.detail);
    }

    // Only read after all threads have ended.
    load_summary summary;
    key_outcomes endByKey;

private:
    std::mutex mutex;
};

/// One run of the load; its threads share one counter of request numbers.
class load_run
{
public:
    explicit load_run(const load_options &options)
        : options(options), pool(options.streams, connectTimeout, metrics), startedAt(clock.mono())
    {
        for (std::uint32_t index = 0; index < options.callers; ++index) {
            caller_identity identity = options.identity;
            identity.caller += "-" + std::to_string(index);
            callers.push_back(std::make_unique<simulated_caller>(options.seeds, identity, pool));
        }
    }

    load_summary run()
    {
        std::vector<std::thread> threads;
        for (std::uint32_t index = 0; index < options.streams; ++index)
            threads.emplace_back([this, index] { sendRequests(*callers[index % callers.size()]); });
        for (std::thread &thread : threads)
            thread.join();
        outcomes.summary.elapsed = clock.mono() - startedAt;
        compareWithRecords();
        return outcomes.summary;
    }

private:
    struct simulated_caller
    {
        caller_identity identity;
        address_cache addresses;

        simulated_caller(const std::vector<endpoint> &seeds, const caller_identity &identity,
                         http_pool &pool)
            : identity(identity), addresses(seeds, identity, pool)
        { }
    };

    bool isOver(std::uint64_t number, mono_time due) const
    {
        if (options.requests > 0 && number >= options.requests)
            return true;
        if (!options.runWhileFile.empty() && !std::filesystem::exists(options.runWhileFile))
            return true;
        return options.time.count() > 0 && due - startedAt >= options.time;
    }

    mono_time dueTimeOf(std::uint64_t number) const
    {
        if (options.rate <= 0)
            return clock.mono();
        const std::chrono::duration<double> offset(double(number) / options.rate);
        return startedAt + std::chrono::duration_cast<std::chrono::nanoseconds>(offset);
    }

    void sendRequests(simulated_caller &caller)
    {
        for (;;) {
            const std::uint64_t number = nextNumber.fetch_add(1);
            const mono_time due = dueTimeOf(number);
            if (isOver(number, due))
                return;
            std::this_thread::sleep_for(due - clock.mono());
            const load_call call = makeCall(options.plan, number, due - startedAt);
            outcomes.add(call, perform(call, caller, due));
        }
    }

    call_outcome perform(const load_call &call, simulated_caller &caller, mono_time due)
    {
        try {
            return performCall(call, caller.identity, caller.addresses, pool, due);
        } catch (const nlohmann::json::exception &fault) {
            return call_outcome{call_end::Wrong, {}, 0, fault.what()};
        }
    }

    void compareWithRecords()
    {
        if (options.records.empty())
            return;
        const result<run_counts> runs = fetchRecords(options.records, pool);
        if (!succeeded(runs)) {
            ++outcomes.summary.wrong;
            outcomes.summary.details.push_back("service records unavailable: "
                                               + errorOf(runs).message);
            return;
        }
        const record_faults faults = compareRecords(valueOf(runs), outcomes.endByKey);
        outcomes.summary.doubled += faults.doubled;
        outcomes.summary.wrong += faults.lost;
        outcomes.summary.falseNotRun = faults.falseNotRun;
    }

    const load_options &options;
    const clock_source clock = systemClock();
    metrics_registry metrics;
    http_pool pool;
    const mono_time startedAt;
    std::vector<std::unique_ptr<simulated_caller>> callers;
    std::atomic<std::uint64_t> nextNumber{0};
    outcome_table outcomes;
};

} // namespace

load_summary runLoad(const load_options &options)
{
    load_run run(options);
    return run.run();
}

figures figuresOf(const load_summary &summary)
{
    const double seconds = std::chrono::duration<double>(summary.elapsed).count();
    return {
            {"requests", double(summary.requests), 0},
            {"whole", double(summary.whole), 0},
            {"refused", double(summary.refused), 0},
            {"not_run", double(summary.notRun), 0},
            {"may_have_run", double(summary.mayHaveRun), 0},
            {"doubled", double(summary.doubled), 0},
            {"cut", double(summary.cut), 0},
            {"wrong", double(summary.wrong), 0},
            {"false_not_run", double(summary.falseNotRun), 0},
            {"p50_first_ms", inMilliseconds(quantileOf(summary.firstBytes, 0.5)), 3},
            {"p99_first_ms", inMilliseconds(quantileOf(summary.firstBytes, 0.99)), 3},
            {"seconds", seconds, 2},
    };
}

} // namespace poplarspool::bench
