#include "poplarspool/peer/load_exchange.h"

#include "peer/datagram_loop.h"
#include "poplarspool/peer/limits.h"

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

load_intervals loadUpdateIntervals(std::size_t sameZone, std::size_t otherZones)
{
    const auto intervalOf = [&](std::size_t peers,
                                std::size_t datagramsPerSecond) -> std::optional<milliseconds> {
        const milliseconds interval =
                loadUpdateInterval(peers, sameZone + otherZones, datagramsPerSecond);
        if (interval > config::maxLoadUpdateInterval)
            return std::nullopt;
        return interval;
    };
    load_intervals intervals;
    if (!usesDigests(sameZone))
        intervals.otherZones = intervalOf(otherZones, config::otherZonesLoadUpdatesPerSecond);
    intervals.sameZone = intervalOf(
            sameZone,
            config::sameZoneLoadUpdatesPerSecond
                    + (intervals.otherZones ? 0 : config::otherZonesLoadUpdatesPerSecond));
    return intervals;
}

struct load_exchange::state
{
    state(datagram_settings settings, std::function<load_update(update_recipients)> collect,
          std::function<std::vector<load_update>()> collectDigest,
          std::function<void(std::uint64_t, const load_update &)> onUpdate, clock_source clock,
          metrics_registry &metrics, journal &events)
        : collect(std::move(collect)), collectDigest(std::move(collectDigest)),
          onUpdate(std::move(onUpdate)), clock(std::move(clock)),
          loop("load_news", std::move(settings), frame_kind::Load, "poplarspool_load_news_total",
               {[this] { return sendDue(); },
                [this](std::uint64_t sender, std::string_view payload) {
                    return receive(sender, payload);
                }},
               this->clock, metrics, events)
    { }

    mono_time sendDue();
    void sendDueUpdates(const load_intervals &intervals, mono_time now);
    void sendTo(update_recipients recipients, const std::vector<endpoint> &to);
    std::size_t sendDigest(const std::vector<digest_forwarders> &zones);
    bool receive(std::uint64_t sender, std::string_view payload);

    const std::function<load_update(update_recipients)> collect;
    const std::function<std::vector<load_update>()> collectDigest;
    const std::function<void(std::uint64_t, const load_update &)> onUpdate;
    const clock_source clock;
    std::mutex guard;
    std::vector<endpoint> sameZone;
    std::vector<endpoint> otherZones;
    digest_recipients digestRecipients;

    // Used by the thread of the loop only.
    mono_time nextOtherZonesAt{}; ///< Time of the next update to other zones.
    mono_time nextDigestAt{};
    std::array<bool, updateRecipientGroups> wasEmpty{};
    datagram_loop loop;
};

load_exchange::load_exchange(datagram_settings settings,
                             std::function<load_update(update_recipients)> collect,
                             std::function<std::vector<load_update>()> collectDigest,
                             std::function<void(std::uint64_t, const load_update &)> onUpdate,
                             clock_source clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), std::move(collect),
                                    std::move(collectDigest), std::move(onUpdate), std::move(clock),
                                    metrics, events))
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

void load_exchange::setDigestRecipients(digest_recipients recipients)
{
    const std::lock_guard lock(inner->guard);
    inner->digestRecipients = std::move(recipients);
}

mono_time load_exchange::state::sendDue()
{
    const mono_time now = clock.mono();
    load_intervals intervals;
    {
        const std::lock_guard lock(guard);
        intervals = loadUpdateIntervals(sameZone.size(), otherZones.size());
    }
    sendDueUpdates(intervals, now);
    return now + intervals.sameZone.value_or(config::maxLoadUpdateInterval);
}

void load_exchange::state::sendDueUpdates(const load_intervals &intervals, mono_time now)
{
    std::vector<endpoint> sameZonePeers;
    std::vector<endpoint> otherZonePeers;
    digest_recipients digestTo;
    {
        const std::lock_guard lock(guard);
        if (now >= nextDigestAt)
            digestTo = digestRecipients;
        if (intervals.sameZone)
            sameZonePeers = sameZone;
        if (intervals.otherZones && now >= nextOtherZonesAt) {
            otherZonePeers = otherZones;
            nextOtherZonesAt = now + *intervals.otherZones;
        }
    }
    sendTo(update_recipients::SameZone, sameZonePeers);
    sendTo(update_recipients::OtherZones, otherZonePeers);
    const std::size_t parts = sendDigest(digestTo.zones);
    if (!digestTo.zones.empty())
        nextDigestAt = now
                + digestInterval(parts * digestTo.otherZones,
                                 intervals.sameZone.value_or(config::maxLoadUpdateInterval));
}

/// A digest is not sent again while the zone has no requests, like an update.
/// @returns The number of its parts.
std::size_t load_exchange::state::sendDigest(const std::vector<digest_forwarders> &zones)
{
    if (zones.empty())
        return 0;
    std::vector<load_update> parts = collectDigest();
    for (std::size_t part = 0; part < parts.size(); ++part) {
        parts[part].mustForward = true;
        std::vector<endpoint> to;
        to.reserve(zones.size());
        for (const digest_forwarders &forwarders : zones)
            to.push_back(forwarders[part % forwarders.size()]);
        loop.send(to, encode(parts[part]));
    }
    return parts.size();
}

void load_exchange::state::sendTo(update_recipients recipients, const std::vector<endpoint> &to)
{
    if (to.empty())
        return;
    const load_update update = collect(recipients);
    // The first empty update announces that no requests are left; repeating it has no use.
    const bool isEmpty = update.work.empty() && update.cached.empty() && update.samples.empty()
            && update.workspaces.empty();
    bool &wasLastEmpty = wasEmpty[static_cast<std::size_t>(recipients)];
    if (!std::exchange(wasLastEmpty, isEmpty) || !isEmpty)
        loop.send(to, encode(update));
}

bool load_exchange::state::receive(std::uint64_t sender, std::string_view payload)
{
    auto decoded = decodeLoadUpdate(payload);
    if (!succeeded(decoded))
        return false;
    load_update &update = valueOf(decoded);
    if (std::exchange(update.mustForward, false)) {
        std::vector<endpoint> to;
        {
            const std::lock_guard lock(guard);
            to = sameZone;
        }
        loop.send(to, encode(update));
    }
    onUpdate(sender, update);
    return true;
}

} // namespace poplarspool::peer
