#include "poplarspool/withdrawals/withdrawal_exchange.h"

#include "peer/datagram_loop.h"

namespace poplarspool::withdrawals {

struct withdrawal_exchange::state
{
    state(const peer::datagram_settings &settings, withdrawal_hooks hooks,
          std::string leavingHeader, const peer::fleet_view &fleet, const clock_source &clock,
          metrics_registry &metrics, journal &events)
        : registry({settings.self, std::move(leavingHeader),
                    [this](const std::vector<endpoint> &to, const result<std::string> &payload) {
                        loop.send(to, payload);
                    },
                    std::move(hooks), fleet, clock, metrics, events}),
          loop("withdrawals", settings, peer::frame_kind::Withdrawal,
               "poplarspool_withdrawal_updates_total",
               {[this] { return registry.sendDue(); },
                [this](std::uint64_t, std::string_view payload) {
                    return registry.receive(payload);
                }},
               clock, metrics, events)
    { }

    withdrawal_registry registry;
    peer::datagram_loop loop;
};

withdrawal_exchange::withdrawal_exchange(const peer::datagram_settings &settings,
                                         withdrawal_hooks hooks, std::string leavingHeader,
                                         const peer::fleet_view &fleet, const clock_source &clock,
                                         metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(settings, std::move(hooks), std::move(leavingHeader), fleet,
                                    clock, metrics, events))
{ }

withdrawal_exchange::~withdrawal_exchange() = default;

result<unit> withdrawal_exchange::start()
{
    return inner->loop.start();
}

void withdrawal_exchange::stop()
{
    inner->loop.stop();
}

withdrawal_registry &withdrawal_exchange::registry()
{
    return inner->registry;
}

} // namespace poplarspool::withdrawals
