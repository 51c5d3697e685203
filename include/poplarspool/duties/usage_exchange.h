#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/duties/fleet_clock.h"
#include "poplarspool/duties/usage.h"
#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>
#include <vector>

namespace poplarspool::duties {

/// State from which one instance counts usage.
struct usage_context
{
    usage_table &table;
    fleet_clock &fleetClock;
    milliseconds windowLength; ///< Length of the windows in which requests are counted.
};

/// Sends the local usage counts to a few replicas, which hold the counts of all instances, and
/// distributes the time. Every replica receives all counts, so none are lost when one of them ends.
class usage_exchange
{
public:
    /// @param settings The other instances receive on the same port.
    /// @param incarnation The one that the table counts as local.
    /// @param members Returns all members, including this instance; called on the exchange's
    ///                thread.
    usage_exchange(peer::datagram_settings settings, std::uint64_t incarnation,
                   usage_context context, std::function<std::vector<policy::member>()> members,
                   clock_source clock, metrics_registry &metrics, journal &events);
    ~usage_exchange();

    result<unit> start();
    /// Stops the loop, then sends all local counts and marks them as the last.
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::duties
