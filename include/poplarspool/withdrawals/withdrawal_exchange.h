#pragma once

#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/withdrawals/withdrawal_registry.h"

#include <memory>

namespace poplarspool::withdrawals {

/// The registry of what runners have said of themselves, and the datagrams in which instances tell
/// each other.
class withdrawal_exchange
{
public:
    withdrawal_exchange(const peer::datagram_settings &settings, withdrawal_hooks hooks,
                        std::string leavingHeader, const peer::fleet_view &fleet,
                        const clock_source &clock, metrics_registry &metrics, journal &events);
    ~withdrawal_exchange();

    result<unit> start();
    void stop();

    withdrawal_registry &registry();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::withdrawals
