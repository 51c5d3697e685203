#pragma once

#include "gateway/limit_bucket.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace poplarspool::gateway {

/// Issues the permits of the runners for which this instance is responsible. Thread-safe.
class permit_issuer
{
public:
    /// @param runner peer::runnerKey() of its id.
    bucket_decision issue(std::uint32_t runner, std::uint64_t startedAtMs,
                          const bucket_query &query);
    /// Forgets the bucket of a runner whose limit has ended.
    void forget(std::uint32_t runner);

private:
    struct issued_limit
    {
        std::uint64_t startedAtMs = 0; ///< Of the runner's incarnation.
        milliseconds retention{0};
        limit_bucket bucket;
    };

    void removeUnused(mono_time now);

    std::mutex guard;
    std::unordered_map<std::uint32_t, issued_limit> limits;
    mono_time checkedAt{};
};

} // namespace poplarspool::gateway
