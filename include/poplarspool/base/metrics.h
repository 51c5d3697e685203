#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace poplarspool {

/// A number that only grows.
struct counter
{
    std::atomic<std::uint64_t> value{0};

    void add(std::uint64_t amount = 1) { value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t get() const { return value.load(std::memory_order_relaxed); }
};

/// A number that goes up and down.
struct gauge
{
    std::atomic<std::int64_t> value{0};

    void set(std::int64_t now) { value.store(now, std::memory_order_relaxed); }
    void add(std::int64_t amount) { value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t get() const { return value.load(std::memory_order_relaxed); }
};

/// Distribution of times, on a logarithmic axis from 10 microseconds to 1000 seconds.
class latency
{
public:
    latency();
    ~latency();
    void record(std::chrono::nanoseconds elapsed);
    std::uint64_t count() const;
    /// @param share Such as 0.95.
    /// @returns Upper edge of the bin that holds that share; 0 where nothing was recorded.
    std::chrono::nanoseconds quantile(double share) const;

private:
    friend class metrics_registry;
    struct state;
    std::unique_ptr<state> inner;
};

/// All metrics of one process. References stay valid as long as the registry; asking again for a
/// name gives the same metric. Look metrics up once, at construction, not on a request's path.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// @param name Such as "poplarspool_requests_total"; labels may follow in braces:
    ///             `name{code="ok"}`.
    counter &counterOf(std::string_view name);
    gauge &gaugeOf(std::string_view name);
    latency &latencyOf(std::string_view name);

    /// @returns All metrics in Prometheus' text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool
