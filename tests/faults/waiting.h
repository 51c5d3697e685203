#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace poplarspool::faults {

/// What a scenario expects did not hold.
struct expectation_failed : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Looks until the condition holds.
/// @returns False where it does not within the safety time.
bool holdsInTime(const std::function<bool()> &condition);

/// As holdsInTime().
/// @throws expectation_failed Naming what did not come about.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

/// @throws expectation_failed
void expect(bool holds, const std::string &what);

} // namespace poplarspool::faults
