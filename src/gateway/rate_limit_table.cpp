#include "gateway/rate_limit_table.h"

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

std::optional<rate_limit_observation> rate_limit_table::limitOf(std::uint32_t runner,
                                                                std::uint64_t startedAtMs) const
{
    if (isEmpty())
        return std::nullopt;
    const std::lock_guard lock(guard);
    const auto found = records.find(runner);
    if (found == records.end() || !found->second.perSecond)
        return std::nullopt;
    const rate_limit_observation &known = found->second;
    const bool isOtherIncarnation =
            known.startedAtMs != 0 && startedAtMs != 0 && known.startedAtMs != startedAtMs;
    return isOtherIncarnation ? std::nullopt : std::optional(known);
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
