#include "gateway/limit_fleet.h"

#include "peer/port_offset.h"

namespace poplarspool::gateway {

namespace {

constexpr std::uint16_t limitPortOffset = 3;

} // namespace

issuer_pair issuersOf(const peer::fleet &fleet, std::uint32_t runner)
{
    const std::string_view key(reinterpret_cast<const char *>(&runner), sizeof(runner));
    const auto ranked = peer::rankedInstances(fleet, key, 2);
    issuer_pair pair;
    if (!ranked.empty())
        pair.first = ranked[0];
    if (ranked.size() > 1)
        pair.second = ranked[1];
    return pair;
}

endpoint limitAddressOf(const endpoint &peerAddress)
{
    return peer::atPortOffset(peerAddress, limitPortOffset);
}

} // namespace poplarspool::gateway
