#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace poplarspool {

/// A value that only increases.
struct counter
{
    std::atomic<std::uint64_t> value{0};

    void add(std::uint64_t amount = 1) { value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t get() const { return value.load(std::memory_order_relaxed); }
};

/// A value that can increase and decrease.
struct gauge
{
    std::atomic<std::int64_t> value{0};

    void set(std::int64_t now) { value.store(now, std::memory_order_relaxed); }
    void add(std::int64_t amount) { value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t get() const { return value.load(std::memory_order_relaxed); }
};

/// Histogram of durations with logarithmic bins from 10 microseconds to 1000 seconds.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    void record(std::chrono::nanoseconds elapsed);
    std::uint64_t count() const;
    /// @param share Quantile, such as 0.95.
    /// @returns Upper edge of the bin that contains the quantile; 0 if nothing was recorded.
    std::chrono::nanoseconds quantile(double share) const;

private:
    friend class metrics_registry;
    struct state;
    std::unique_ptr<state> inner;
};

/// All metrics of one process. A name always refers to the same metric, and references stay valid
/// for the lifetime of the registry. A look-up takes a lock: do it at construction, not while
/// serving a request.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// @param name Such as "poplarspool_requests_total"; labels may follow in braces:
    ///             `name{code="ok"}`.
    counter &counterOf(std::string_view name);
    gauge &gaugeOf(std::string_view name);
    latency_histogram &latencyOf(std::string_view name);

    /// @returns All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool
