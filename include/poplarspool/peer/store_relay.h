#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/peer/store_news.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::peer {

/// What to do now, and how long to wait before the next look.
struct relay_turn
{
    std::optional<store_news> news; ///< To be told.
    milliseconds wait{0};
};

/// Carries news of the platform's store between instances, over UDP. A lost datagram is repaired
/// by the next, and a silent sender by the receivers' own calls to the store.
class store_relay
{
public:
    /// @param collect Gives what to tell, if anything; called on a thread of its own.
    /// @param onNews Gets a sender's number and its news, in the sender's order, on another thread.
    store_relay(datagram_settings choices, std::function<relay_turn()> collect,
                std::function<void(std::uint64_t sender, const store_news &)> onNews,
                metrics_registry &metrics, journal &events);
    ~store_relay();

    result<unit> start();
    void stop();
    void setPeers(std::vector<endpoint> peers);
    std::size_t countPeers() const;
    /// There is something new: collects and tells at once.
    void wake();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::peer
