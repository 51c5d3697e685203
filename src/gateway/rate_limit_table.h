#pragma once

#include "poplarspool/gateway/rate_limit.h"
#include "poplarspool/gateway/runner_set.h"

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace poplarspool::gateway {

/// A limit that has begun, ended or changed its value.
struct rate_limit_change
{
    std::optional<double> before; ///< Empty: no limit.
    std::optional<double> after;

    bool operator==(const rate_limit_change &) const = default;
};

/// The rate limits of all runners, as known to this instance. Thread-safe.
class rate_limit_table
{
public:
    /// @param runner peer::runnerKey() of its id.
    /// @returns What has changed by it; none if it is outdated or nothing new.
    std::optional<rate_limit_change> record(std::uint32_t runner,
                                            const rate_limit_observation &observed);
    /// @param target The incarnation that is to be sent to.
    /// @returns None if that incarnation has no limit.
    std::optional<rate_limit_observation> limitOf(const runner &target) const;
    /// @returns What was heard of the runner last, also if it has no limit; none if it had none
    /// lately.
    std::optional<rate_limit_observation> find(std::uint32_t runner) const;
    /// Whether any runner has or had a limit; without taking a lock.
    bool isEmpty() const { return recordCount.load(std::memory_order_relaxed) == 0; }
    std::size_t limitedCount() const;
    void removeUnlisted(const runner_set &listed);

private:
    mutable std::mutex guard;
    /// Ended limits are kept: a late observation must not begin them anew.
    std::unordered_map<std::uint32_t, rate_limit_observation> records;
    std::atomic<std::size_t> recordCount{0};
};

} // namespace poplarspool::gateway
