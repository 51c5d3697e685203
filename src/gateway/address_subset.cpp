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

} // namespace poplarspool::gateway
