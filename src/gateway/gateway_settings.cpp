#include "poplarspool/gateway/gateway_settings.h"

namespace poplarspool::gateway {

std::string peerKeyOf(const gateway_settings &settings)
{
    if (!settings.peerKey.empty())
        return settings.peerKey;
    return "poplarspool-gateway:" + textOf(settings.storeAddress);
}

incarnation_number incarnationOf(const clock_source &clock)
{
    return static_cast<incarnation_number>(clock.wall().time_since_epoch().count());
}

} // namespace poplarspool::gateway
