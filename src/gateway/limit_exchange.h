#pragma once

#include "gateway/rate_limiter.h"
#include "peer/datagram_loop.h"

namespace poplarspool::gateway {

/// Carries the datagrams of the rate limiter between instances.
class limit_exchange
{
public:
    limit_exchange(peer::datagram_settings settings, rate_limiter &limiter, clock_source clock,
                   metrics_registry &metrics, journal &events);

    result<unit> start() { return loop.start(); }
    void stop() { loop.stop(); }
    /// Thread-safe: requests send on their own threads, so that none waits for the loop's.
    void send(const std::vector<endpoint> &to, const result<std::string> &payload);

private:
    peer::datagram_loop loop;
};

} // namespace poplarspool::gateway
