#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <algorithm>
#include <functional>
#include <map>

namespace poplarspool::peer {

namespace {

using zone_members = std::map<zone_id, std::vector<const policy::member *>>;

/// The instance of a zone that sends the digests for one pair of zones.
const policy::member &senderOf(const std::vector<const policy::member *> &zone,
                               const std::string &pair)
{
    const policy::member *sender = zone.front();
    for (const policy::member *one : zone) {
        if (rendezvousWeight(one->id.text, pair) > rendezvousWeight(sender->id.text, pair))
            sender = one;
    }
    return *sender;
}

digest_forwarders forwardersOf(std::vector<const policy::member *> zone, const std::string &pair,
                               std::uint16_t port)
{
    std::ranges::sort(zone, std::ranges::greater{}, [&pair](const policy::member *one) {
        return rendezvousWeight(one->id.text, pair);
    });
    digest_forwarders forwarders;
    forwarders.reserve(zone.size());
    for (const policy::member *one : zone)
        forwarders.push_back({one->peerAddress.host, port});
    return forwarders;
}

} // namespace

bool usesDigests(std::size_t sameZone)
{
    return sameZone >= config::minZonePeersForDigest;
}

milliseconds digestInterval(std::size_t datagrams, milliseconds sameZone)
{
    const milliseconds interval(1000 * datagrams / config::digestDatagramsPerSecond);
    return std::clamp(interval, std::min(sameZone, config::maxLoadUpdateInterval),
                      config::maxLoadUpdateInterval);
}

digest_recipients digestRecipientsOf(const std::vector<policy::member> &alive,
                                     const instance_id &self, std::uint16_t port)
{
    zone_members zones;
    zone_id own;
    for (const policy::member &one : alive) {
        if (one.state != policy::member_state::Alive)
            continue;
        zones[one.zone].push_back(&one);
        if (one.id == self)
            own = one.zone;
    }
    digest_recipients recipients;
    if (zones[own].empty() || !usesDigests(zones[own].size() - 1))
        return recipients;
    recipients.otherZones = zones.size() - 1;
    for (const auto &[zone, members] : zones) {
        const std::string pair = own.text + '>' + zone.text;
        if (zone != own && !members.empty() && senderOf(zones[own], pair).id == self)
            recipients.zones.push_back(forwardersOf(members, pair, port));
    }
    return recipients;
}

} // namespace poplarspool::peer
