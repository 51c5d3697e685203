#pragma once

#include "poplarspool/withdrawals/limits.h"
#include "poplarspool/withdrawals/withdrawal.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace poplarspool::withdrawals {

/// A bounded map with one value for each runner, that of its incarnation heard of last. Not
/// thread-safe.
template <class Value>
class life_map
{
public:
    explicit life_map(std::size_t maxSize = config::maxWithdrawnRunners) : maxSize(maxSize) { }

    /// @returns Null if nothing is known of that incarnation.
    const Value *find(const runner_life &runner) const
    {
        const auto found = entries.find(runner.id);
        return found != entries.end() && isSameLife({runner.id, found->second.startedAtMs}, runner)
                ? &found->second.value
                : nullptr;
    }

    /// Beyond the maximum size, the entry that was set first is evicted.
    void set(const runner_life &runner, const Value &value, mono_time now)
    {
        if (entries.size() >= maxSize && !entries.contains(runner.id))
            entries.erase(std::ranges::min_element(
                    entries, {}, [](const auto &one) { return one.second.setAt; }));
        entries[runner.id] = {runner.startedAtMs, value, now};
    }

    void erase(const runner_id &id) { entries.erase(id); }
    /// Erases the values for which the condition holds.
    template <class Condition>
    void eraseIf(const Condition &condition)
    {
        std::erase_if(entries, [&](const auto &one) { return condition(one.second.value); });
    }

    std::size_t size() const { return entries.size(); }

private:
    struct entry
    {
        std::uint64_t startedAtMs = 0;
        Value value;
        mono_time setAt{};
    };

    const std::size_t maxSize;
    std::unordered_map<runner_id, entry> entries;
};

} // namespace poplarspool::withdrawals
