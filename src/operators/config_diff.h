#pragma once

#include "poplarspool/policy/inventory.h"
#include "poplarspool/policy/rules.h"

#include <string>
#include <vector>

/// Differences between two configurations, short enough for an error message.
namespace poplarspool::operators {

struct configuration
{
    policy::inventory fleet;
    policy::rules ruleSet;

    bool operator==(const configuration &) const = default;
};

/// @returns One entry per difference: "+runner a" (added), "-runner b" (removed) or "~runner c
///          (draining)" (changed, with the changed keys).
std::vector<std::string> differences(const configuration &from, const configuration &to);

/// @returns One line with the first few differences and the number of the others; "nothing" if
///          there are none.
std::string summaryOf(const std::vector<std::string> &differences);

} // namespace poplarspool::operators
