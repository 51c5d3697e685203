#include "peer/forward_groups.h"

#include "peer/packed_address.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>

namespace poplarspool::peer {

std::vector<forward_group> forwardGroupsOf(std::vector<endpoint> recipients, std::uint64_t relay)
{
    std::vector<forward_group> groups;
    // Other addresses than IPv4 do not fit into the datagram; they get it directly.
    std::erase_if(recipients, [&groups](const endpoint &one) {
        const bool isUnpacked = !packedAddressOf(one);
        if (isUnpacked)
            groups.push_back({one, {}});
        return isUnpacked;
    });
    std::ranges::sort(recipients, {},
                      [relay](const endpoint &one) { return hashOf(textOf(one), relay); });
    constexpr std::size_t groupSize = config::maxForwardGroup + 1;
    const std::size_t count = (recipients.size() + groupSize - 1) / groupSize;
    const std::size_t first = groups.size();
    groups.resize(first + count);
    for (std::size_t i = 0; i < recipients.size(); ++i) {
        forward_group &group = groups[first + i % count];
        if (i < count)
            group.forwarder = std::move(recipients[i]);
        else
            group.members.push_back(std::move(recipients[i]));
    }
    return groups;
}

std::vector<forward_batch> forwardBatchesOf(std::vector<endpoint> recipients, std::uint64_t relay)
{
    std::vector<forward_batch> batches;
    if (recipients.empty())
        return batches;
    if (recipients.size() <= config::maxDirectRecipients) {
        batches.push_back({std::move(recipients), {}});
        return batches;
    }
    for (forward_group &group : forwardGroupsOf(std::move(recipients), relay))
        batches.push_back({{std::move(group.forwarder)}, std::move(group.members)});
    return batches;
}

} // namespace poplarspool::peer
