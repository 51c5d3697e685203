#include "gateway/cache_holders.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <utility>

namespace poplarspool::gateway {

void cache_holders::holder_list::add(std::uint32_t runner)
{
    if (std::find(runners.begin(), runners.begin() + count, runner) != runners.begin() + count)
        return;
    if (count < maxHolders) {
        runners[count++] = runner;
        return;
    }
    runners[oldest] = runner;
    oldest = (oldest + 1) % maxHolders;
}

void cache_holders::add(std::uint32_t part, std::uint32_t runner)
{
    if (recent.size() >= config::maxHeldParts && !recent.contains(part))
        earlier = std::exchange(recent, {});
    const auto [known, isNew] = recent.try_emplace(part);
    if (isNew) {
        const auto before = earlier.find(part);
        if (before != earlier.end())
            known->second = before->second;
    }
    known->second.add(runner);
}

std::span<const std::uint32_t> cache_holders::holdersOf(std::uint32_t part) const
{
    auto found = recent.find(part);
    if (found == recent.end()) {
        found = earlier.find(part);
        if (found == earlier.end())
            return {};
    }
    return {found->second.runners.data(), found->second.count};
}

} // namespace poplarspool::gateway
