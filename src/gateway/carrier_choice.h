#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/policy/view.h"

#include <map>
#include <mutex>
#include <span>
#include <vector>

/// The choice of the instance that carries a tunnel to a runner, for an instance that can't reach
/// the runner.
namespace poplarspool::gateway {

struct carrier_query
{
    instance_id self;
    zone_id zone; ///< Of this instance.
    std::uint64_t draw = 0; ///< Uniformly distributed random bits.
};

/// @param candidates Members that are not known to be cut off from the runners.
/// @param failed Instances that could not help a moment ago.
/// @returns The instances to ask, in this order. The first is of this instance's zone if one there
///          is usable, the next of another zone: a cause that concerns a zone must not take both.
std::vector<policy::member> chooseCarriers(std::span<const policy::member> candidates,
                                           const std::map<instance_id, zone_id> &failed,
                                           const carrier_query &query);

/// Instances that could not carry a tunnel, for config::unusableCarrierTime. Thread-safe.
class failed_carriers
{
public:
    explicit failed_carriers(clock_source clock) : clock(std::move(clock)) { }

    void record(const policy::member &carrier);
    std::map<instance_id, zone_id> current();

private:
    struct failure
    {
        zone_id zone;
        mono_time expires{};
    };

    const clock_source clock;
    std::mutex guard;
    std::map<instance_id, failure> failures;
};

} // namespace poplarspool::gateway
