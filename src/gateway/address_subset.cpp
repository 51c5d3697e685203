#include "gateway/address_subset.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

std::vector<endpoint> addressSubset(std::vector<endpoint> addresses, std::uint64_t position)
{
    if (std::ssize(addresses) <= config::maxDirectoryAddresses)
        return addresses;
    // The addresses that follow the position on a ring of hashes.
    const auto distanceOf = [position](const endpoint &one) {
        return hashOf(textOf(one)) - position;
    };
    const auto end = addresses.begin() + config::maxDirectoryAddresses;
    std::ranges::nth_element(addresses, end, {}, distanceOf);
    addresses.erase(end, addresses.end());
    return addresses;
}

std::vector<policy::member> withoutCutOff(const std::vector<policy::member> &open,
                                          const cut_off_instances &cutOff)
{
    std::vector<policy::member> connected = cutOff.without(open);
    const double minConnected = config::minConnectedShare * static_cast<double>(open.size());
    return static_cast<double>(connected.size()) >= minConnected ? connected : open;
}

std::vector<endpoint> addressesNear(const std::vector<policy::member> &open, const zone_id &zone)
{
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    for (const policy::member &one : open) {
        all.push_back(one.callerAddress);
        if (one.zone == zone)
            near.push_back(one.callerAddress);
    }
    return near.size() >= config::minZoneAddresses ? near : all;
}

} // namespace poplarspool::gateway
