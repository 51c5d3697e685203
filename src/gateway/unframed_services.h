#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/gateway/runner.h"

#include <atomic>
#include <map>
#include <mutex>

namespace poplarspool::gateway {

/// The services whose runners have lately sent answers with neither a length nor chunks.
/// Thread-safe.
class unframed_services
{
public:
    explicit unframed_services(clock_source clock) : clock(std::move(clock)) { }

    void record(const service_id &service);
    bool contains(const service_id &service) const;

private:
    const clock_source clock;
    /// Requests to other services, which are nearly all, take no lock.
    std::atomic<bool> isEmpty{true};
    mutable std::mutex guard;
    std::map<service_id, mono_time> expiries;
};

} // namespace poplarspool::gateway
