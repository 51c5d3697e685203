#include "gateway/rate_limit_table.h"

#include "poplarspool/peer/load_exchange.h"

#include <algorithm>

namespace poplarspool::gateway {

std::optional<rate_limit_change> rate_limit_table::record(std::uint32_t runner,
                                                          const rate_limit_observation &observed)
{
    if (!observed.perSecond && isEmpty())
        return std::nullopt;
    const std::lock_guard lock(guard);
    const auto found = records.find(runner);
    if (found == records.end()) {
        if (!observed.perSecond)
            return std::nullopt;
        records.emplace(runner, observed);
        recordCount = records.size();
        return rate_limit_change{std::nullopt, observed.perSecond};
    }
    const std::optional<double> before = found->second.perSecond;
    found->second = validOf(found->second, observed);
    const std::optional<double> after = found->second.perSecond;
    if (before == after)
        return std::nullopt;
    return rate_limit_change{before, after};
}

std::optional<rate_limit_observation> rate_limit_table::limitOf(const runner &target) const
{
    if (isEmpty())
        return std::nullopt;
    const auto known = find(peer::runnerKey(target.id));
    if (!known || !known->perSecond)
        return std::nullopt;
    const bool isOtherIncarnation = known->startedAtMs != 0 && target.startedAtMs != 0
            && known->startedAtMs != target.startedAtMs;
    // An engine that changes its stage refuses all requests, and none after that.
    const bool isOtherStage = known->isInferred && known->stage != target.stage;
    return isOtherIncarnation || isOtherStage ? std::nullopt : known;
}

std::optional<rate_limit_observation> rate_limit_table::find(std::uint32_t runner) const
{
    const std::lock_guard lock(guard);
    const auto found = records.find(runner);
    return found == records.end() ? std::nullopt : std::optional(found->second);
}

std::size_t rate_limit_table::limitedCount() const
{
    if (isEmpty())
        return 0;
    const std::lock_guard lock(guard);
    return static_cast<std::size_t>(std::ranges::count_if(
            records, [](const auto &one) { return one.second.perSecond.has_value(); }));
}

void rate_limit_table::removeUnlisted(const runner_set &listed)
{
    const std::lock_guard lock(guard);
    std::erase_if(records, [&listed](const auto &one) { return !listed.findByKey(one.first); });
    recordCount = records.size();
}

} // namespace poplarspool::gateway
