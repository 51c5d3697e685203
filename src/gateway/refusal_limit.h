#pragma once

#include <cstdint>
#include <optional>

/// The rate limit of a runner that refuses requests without naming one. A runner that refuses
/// nearly all looks idle, so that each instance would go on choosing it; instances that each test
/// it by themselves would send it more the more they are. Pure functions over plain values.
namespace poplarspool::gateway {

/// @param acceptedPerSecond Requests that the runner has accepted lately, from all instances.
/// @param hadLimit Its last inferred limit has ended only lately.
/// @returns The limit after repeated refusals; none if it accepts so many that it is only full.
std::optional<double> limitAfterRefusals(double acceptedPerSecond, bool hadLimit);

/// @param perSecond The limit so far.
/// @returns The limit after one more refusal.
double limitAfterRefusal(double perSecond);

/// @param perSecond The limit so far.
/// @returns The limit after one more accepted request; none if it has ended.
std::optional<double> limitAfterAcceptance(double perSecond);

} // namespace poplarspool::gateway
