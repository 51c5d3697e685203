#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/peer/datagram_settings.h"

#include <memory>
#include <string>
#include <vector>

namespace poplarspool::crashes {

class quarantine_manager;

/// The datagrams in which the manager finds out together with other instances which parts of
/// prompts crash runners.
class crash_exchange
{
public:
    /// @param manager Must outlive the exchange.
    crash_exchange(const peer::datagram_settings &settings, quarantine_manager &manager,
                   const clock_source &clock, metrics_registry &metrics, journal &events);
    ~crash_exchange();

    result<unit> start();
    void stop();
    /// Thread-safe.
    /// @param to The instances' addresses for gossip.
    void send(const std::vector<endpoint> &to, const result<std::string> &payload);

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// @returns Where the instance exchanges crashes: five ports after its address for gossip.
endpoint crashAddressOf(const endpoint &peerAddress);

} // namespace poplarspool::crashes
