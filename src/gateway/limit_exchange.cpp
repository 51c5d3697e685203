#include "gateway/limit_exchange.h"

namespace poplarspool::gateway {

limit_exchange::limit_exchange(peer::datagram_settings settings, rate_limiter &limiter,
                               clock_source clock, metrics_registry &metrics, journal &events)
    : loop("limits", std::move(settings), peer::frame_kind::Limit,
           "poplarspool_limit_updates_total",
           {[&limiter] { return limiter.sendDue(); },
            [&limiter](std::uint64_t sender, std::string_view payload) {
                return limiter.receive(sender, payload);
            }},
           std::move(clock), metrics, events)
{ }

void limit_exchange::send(const std::vector<endpoint> &to, const result<std::string> &payload)
{
    loop.send(to, payload);
}

} // namespace poplarspool::gateway
