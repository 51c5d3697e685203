#include "crashes/crash_exchange.h"

#include "crashes/quarantine_manager.h"
#include "peer/datagram_loop.h"
#include "peer/port_offset.h"

namespace poplarspool::crashes {

namespace {

constexpr std::uint16_t crashPortOffset = 5;

} // namespace

struct crash_exchange::state
{
    state(const peer::datagram_settings &settings, quarantine_manager &manager,
          const clock_source &clock, metrics_registry &metrics, journal &events)
        : loop("crashes", settings, peer::frame_kind::Crash, "poplarspool_crash_updates_total",
               {[&manager] { return manager.judgeParts(); },
                [&manager](std::uint64_t sender, std::string_view payload) {
                    return manager.onDatagram(sender, payload);
                }},
               clock, metrics, events)
    { }

    peer::datagram_loop loop;
};

crash_exchange::crash_exchange(const peer::datagram_settings &settings, quarantine_manager &manager,
                               const clock_source &clock, metrics_registry &metrics,
                               journal &events)
    : inner(std::make_unique<state>(settings, manager, clock, metrics, events))
{ }

crash_exchange::~crash_exchange() = default;

result<unit> crash_exchange::start()
{
    return inner->loop.start();
}

void crash_exchange::stop()
{
    inner->loop.stop();
}

void crash_exchange::send(const std::vector<endpoint> &to, const result<std::string> &payload)
{
    std::vector<endpoint> addresses;
    addresses.reserve(to.size());
    for (const endpoint &each : to)
        addresses.push_back(crashAddressOf(each));
    if (!addresses.empty())
        inner->loop.send(addresses, payload);
}

endpoint crashAddressOf(const endpoint &peerAddress)
{
    return peer::atPortOffset(peerAddress, crashPortOffset);
}

} // namespace poplarspool::crashes
