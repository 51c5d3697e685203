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

/// What usage is counted by, on one instance.
struct usage_parts
{
    usage_ledger &ledger;
    fleet_clock &time;
    milliseconds window; ///< Length.
};

/// Tells own counts to a few instances that keep those of all, and the time to everyone. A keeper
/// that ends takes nothing with it that the others don't have.
class usage_exchange
{
public:
    /// @param choices The other instances hear at the same port.
    /// @param life That the ledger counts as its own.
    /// @param members This instance among them; called on the exchange's thread.
    usage_exchange(peer::datagram_settings choices, std::uint64_t life, usage_parts parts,
                   std::function<std::vector<policy::member>()> members, clock_source clock,
                   metrics_registry &metrics, journal &events);
    ~usage_exchange();

    result<unit> start();
    /// Tells all that is left, and ends.
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::duties
