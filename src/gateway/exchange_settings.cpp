#include "gateway/exchange_settings.h"

#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

namespace poplarspool::gateway {

peer::gossip_settings gossipSettingsOf(const gateway_settings &settings, const clock_source &clock)
{
    peer::gossip_settings made;
    made.self.id = settings.instance;
    made.self.zone = settings.zone;
    made.self.callerAddress = settings.callerAddress;
    made.self.peerAddress = settings.peerAddress;
    made.self.incarnation = incarnationOf(clock);
    made.key = peerKeyOf(settings);
    made.roundInterval = config::gatewayGossipInterval;
    made.probeTimeout = config::gatewaySuspectTime;
    made.suspicionTimeout = config::suspicionTimeout;
    made.fanout = config::gossipFanout;
    made.bytesPerSecond = config::gossipBytesPerSecond;
    return made;
}

peer::datagram_settings datagramSettingsOf(const gateway_settings &settings,
                                           const endpoint &address, const clock_source &clock)
{
    return {settings.instance, incarnationOf(clock), address, peerKeyOf(settings)};
}

tunnel_sender tunnelSenderOf(const gateway_settings &settings, const clock_source &clock)
{
    return {settings.instance, incarnationOf(clock), peer::deriveFrameKey(peerKeyOf(settings))};
}

} // namespace poplarspool::gateway
