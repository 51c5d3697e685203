#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/peer/store_update.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::peer {

/// Result of one iteration of the sender: the updates to send and the time until the next
/// iteration.
struct relay_iteration
{
    std::vector<store_update>
            updates; ///< Sent in this order; empty for an instance that relays none.
    milliseconds wait{0};
};

/// Exchanges store updates between instances over UDP. A lost datagram is made up for by the next;
/// if a sender goes silent, its receivers query the store themselves.
class store_update_exchange
{
public:
    /// @param collect Returns the updates to send. Called on the sender thread.
    /// @param onUpdate Gets the relay's number and its update, in the order in which it sent them;
    ///                 or the requests of an instance. Called on the receiver thread.
    store_update_exchange(datagram_settings settings, std::function<relay_iteration()> collect,
                          std::function<void(std::uint64_t sender, const store_update &)> onUpdate,
                          metrics_registry &metrics, journal &events);
    ~store_update_exchange();

    result<unit> start();
    void stop();
    void setPeers(std::vector<endpoint> peers);
    std::size_t peerCount() const;
    /// Asks an instance to repeat changes.
    void request(const endpoint &relay, const change_request &wanted);
    /// Runs the next iteration at once. Called when there is something new to send.
    void wake();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
