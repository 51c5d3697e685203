#include "peer/forward_groups.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"

#include <algorithm>

namespace poplarspool::peer {

std::vector<forward_group> forwardGroupsOf(std::vector<endpoint> recipients, std::uint64_t relay)
{
    std::ranges::sort(recipients, {},
                      [relay](const endpoint &one) { return hashOf(textOf(one), relay); });
    constexpr std::size_t groupSize = config::maxForwardGroup + 1;
    const std::size_t count = (recipients.size() + groupSize - 1) / groupSize;
    std::vector<forward_group> groups(count);
    for (std::size_t i = 0; i < recipients.size(); ++i) {
        forward_group &group = groups[i % count];
        if (i < count)
            group.forwarder = std::move(recipients[i]);
        else
            group.members.push_back(std::move(recipients[i]));
    }
    return groups;
}

} // namespace poplarspool::peer
