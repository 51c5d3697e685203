#pragma once

#include "poplarspool/policy/inventory.h"
#include "poplarspool/policy/rules.h"

#include <string>
#include <vector>

/// What differs between two configurations, short enough for a message.
namespace poplarspool::operators {

struct configuration
{
    policy::inventory fleet;
    policy::rules book;

    bool operator==(const configuration &) const = default;
};

/// @returns One entry per difference: "+runner a" (came), "-runner b" (went) or "~runner c
///          (draining)" (changed, with the keys that did).
std::vector<std::string> differences(const configuration &from, const configuration &to);

/// @returns The first few differences in one line; "nothing" where there are none.
std::string summaryOf(const std::vector<std::string> &differences);

} // namespace poplarspool::operators
