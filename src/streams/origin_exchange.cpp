#include "poplarspool/streams/origin_exchange.h"

#include "peer/datagram_loop.h"

namespace poplarspool::streams {

struct origin_exchange::state
{
    state(const peer::datagram_settings &settings, const peer::fleet_view &fleet,
          const clock_source &clock, metrics_registry &metrics, journal &events)
        : registry({settings.self,
                    [this](const std::vector<endpoint> &to, const result<std::string> &payload) {
                        loop.send(to, payload);
                    },
                    fleet, clock, metrics}),
          loop("origins", settings, peer::frame_kind::StreamOrigin,
               "poplarspool_stream_origin_updates_total",
               {[this] { return registry.updateGauges(); },
                [this](std::uint64_t sender, std::string_view payload) {
                    return registry.receive(sender, payload);
                }},
               clock, metrics, events)
    { }

    origin_registry registry;
    peer::datagram_loop loop;
};

origin_exchange::origin_exchange(const peer::datagram_settings &settings,
                                 const peer::fleet_view &fleet, const clock_source &clock,
                                 metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(settings, fleet, clock, metrics, events))
{ }

origin_exchange::~origin_exchange() = default;

result<unit> origin_exchange::start()
{
    return inner->loop.start();
}

void origin_exchange::stop()
{
    inner->loop.stop();
}

origin_registry &origin_exchange::registry()
{
    return inner->registry;
}

} // namespace poplarspool::streams
