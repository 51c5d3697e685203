#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <map>

namespace poplarspool::peer {

namespace {

using zone_members = std::map<zone_id, std::vector<const policy::member *>>;

/// The instance of a zone that handles the digests of one pair of zones.
const policy::member &handlerOf(const std::vector<const policy::member *> &zone,
                                const std::string &pair)
{
    const policy::member *handler = zone.front();
    for (const policy::member *one : zone) {
        if (rendezvousWeight(one->id.text, pair) > rendezvousWeight(handler->id.text, pair))
            handler = one;
    }
    return *handler;
}

} // namespace

bool usesDigests(std::size_t sameZone)
{
    return sameZone >= config::minZonePeersForDigest;
}

std::vector<endpoint> digestRecipientsOf(const std::vector<policy::member> &alive,
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
    std::vector<endpoint> recipients;
    if (zones[own].empty() || !usesDigests(zones[own].size() - 1))
        return recipients;
    for (const auto &[zone, members] : zones) {
        const std::string pair = own.text + '>' + zone.text;
        if (zone != own && !members.empty() && handlerOf(zones[own], pair).id == self)
            recipients.push_back({handlerOf(members, pair).peerAddress.host, port});
    }
    return recipients;
}

} // namespace poplarspool::peer
