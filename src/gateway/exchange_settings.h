#pragma once

#include "gateway/tunnel_message.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/gateway/gateway_settings.h"
#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/peer/gossip.h"

/// What the exchanges with other instances need from the settings.
namespace poplarspool::gateway {

peer::gossip_settings gossipSettingsOf(const gateway_settings &settings, const clock_source &clock);
/// @param address Where the exchange is bound.
peer::datagram_settings datagramSettingsOf(const gateway_settings &settings,
                                           const endpoint &address, const clock_source &clock);
tunnel_sender tunnelSenderOf(const gateway_settings &settings, const clock_source &clock);

} // namespace poplarspool::gateway
