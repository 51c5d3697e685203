#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace poplarspool::faults {

/// An expectation of a scenario was not met.
struct expectation_failed : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Polls until the condition holds.
/// @returns False if it does not hold within the safety timeout.
bool pollUntil(const std::function<bool()> &condition);

/// Like pollUntil(), but throws on a timeout.
/// @param what The expected state, for the message.
/// @throws expectation_failed If the condition does not hold within the safety timeout.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

/// @param what The expected state, for the message.
/// @throws expectation_failed If it does not hold.
void expect(bool holds, const std::string &what);

} // namespace poplarspool::faults
