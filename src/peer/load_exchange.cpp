#include "poplarspool/peer/load_exchange.h"

#include "peer/datagram_loop.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <array>
#include <mutex>

namespace poplarspool::peer {

milliseconds loadUpdateInterval(std::size_t peers, std::size_t others,
                                std::size_t datagramsPerSecond)
{
    const std::size_t effectiveFleet = std::max(others, config::loadUpdateFullRateFleet);
    const milliseconds interval(1000 * peers * effectiveFleet
                                / (datagramsPerSecond * config::loadUpdateFullRateFleet));
    return std::max(interval, config::loadUpdateInterval);
}

struct load_exchange::state
{
    state(datagram_settings settings, std::function<load_update(update_recipients)> collect,
          std::function<void(std::uint64_t, const load_update &)> onUpdate, clock_source clock,
          metrics_registry &metrics, journal &events)
        : collect(std::move(collect)), onUpdate(std::move(onUpdate)), clock(std::move(clock)),
          loop("load_news", std::move(settings), frame_kind::Load, "poplarspool_load_news_total",
               {[this] { return sendDue(); },
                [this](std::uint64_t sender, std::string_view payload) {
                    return receive(sender, payload);
                }},
               this->clock, metrics, events)
    { }

    mono_time sendDue();
    void sendDueUpdates(mono_time now);
    void sendTo(update_recipients recipients, const std::vector<endpoint> &to);
    bool receive(std::uint64_t sender, std::string_view payload);

    const std::function<load_update(update_recipients)> collect;
    const std::function<void(std::uint64_t, const load_update &)> onUpdate;
    const clock_source clock;
    std::mutex guard;
    std::vector<endpoint> sameZone;
    std::vector<endpoint> otherZones;

    // Used by the thread of the loop only.
    mono_time nextOtherZonesAt{}; ///< Time of the next update to other zones.
    std::array<bool, updateRecipientGroups> wasEmpty{};
    datagram_loop loop;
};

load_exchange::load_exchange(datagram_settings settings,
                             std::function<load_update(update_recipients)> collect,
                             std::function<void(std::uint64_t, const load_update &)> onUpdate,
                             clock_source clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), std::move(collect), std::move(onUpdate),
                                    std::move(clock), metrics, events))
{ }

load_exchange::~load_exchange()
{
    stop();
}

result<unit> load_exchange::start()
{
    return inner->loop.start();
}

void load_exchange::stop()
{
    inner->loop.stop();
}

void load_exchange::setPeers(std::vector<endpoint> sameZone, std::vector<endpoint> otherZones)
{
    const std::lock_guard lock(inner->guard);
    inner->sameZone = std::move(sameZone);
    inner->otherZones = std::move(otherZones);
}

mono_time load_exchange::state::sendDue()
{
    const mono_time now = clock.mono();
    sendDueUpdates(now);
    const std::lock_guard lock(guard);
    return now
            + loadUpdateInterval(sameZone.size(), sameZone.size() + otherZones.size(),
                                 config::sameZoneLoadUpdatesPerSecond);
}

void load_exchange::state::sendDueUpdates(mono_time now)
{
    std::vector<endpoint> sameZonePeers;
    std::vector<endpoint> otherZonePeers;
    {
        const std::lock_guard lock(guard);
        sameZonePeers = sameZone;
        if (now >= nextOtherZonesAt) {
            otherZonePeers = otherZones;
            nextOtherZonesAt = now
                    + loadUpdateInterval(otherZones.size(), sameZone.size() + otherZones.size(),
                                         config::otherZonesLoadUpdatesPerSecond);
        }
    }
    sendTo(update_recipients::SameZone, sameZonePeers);
    sendTo(update_recipients::OtherZones, otherZonePeers);
}

void load_exchange::state::sendTo(update_recipients recipients, const std::vector<endpoint> &to)
{
    if (to.empty())
        return;
    const load_update update = collect(recipients);
    // The first empty update announces that no requests are left; repeating it has no use.
    const bool isEmpty = update.work.empty() && update.cached.empty();
    bool &wasLastEmpty = wasEmpty[static_cast<std::size_t>(recipients)];
    if (!std::exchange(wasLastEmpty, isEmpty) || !isEmpty)
        loop.send(to, encode(update));
}

bool load_exchange::state::receive(std::uint64_t sender, std::string_view payload)
{
    const auto update = decodeLoadUpdate(payload);
    if (!succeeded(update))
        return false;
    onUpdate(sender, valueOf(update));
    return true;
}

} // namespace poplarspool::peer
