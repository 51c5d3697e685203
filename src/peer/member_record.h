#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/policy/view.h"

#include <cstdint>

namespace poplarspool::peer {

/// What a member says of itself again and again. Of two the one with the higher heartbeat holds.
struct member_pulse
{
    std::uint64_t heartbeat = 0; ///< Counted by the member itself, within one life.
    std::uint64_t appliedVersion = 0;
    std::uint32_t openStreams = 0;
    mono_time confirmedAt{}; ///< On this instance's clock; the epoch: never.

    bool operator==(const member_pulse &) const = default;
};

/// What is known of one member: a value that only grows, so that news may arrive in any order, late
/// or twice. The higher life replaces everything; within one life every part is joined by itself.
struct member_record
{
    instance_id id;
    zone_id zone;
    endpoint callerAddress;
    endpoint peerAddress;
    incarnation life = 0;
    std::uint32_t refutation = 0; ///< Suspicions below this number are answered; the member's own.
    std::uint32_t suspicion = 0; ///< Above the refutation: the member is suspected.
    bool isLeaving = false; ///< Never taken back within one life.
    bool isDead = false; ///< Never taken back within one life.
    mono_time diedAt{}; ///< On this instance's clock, where it is dead.
    member_pulse pulse;

    bool operator==(const member_record &) const = default;
};

/// @returns The join of both: commutative, associative and idempotent.
/// @attention Only for records of one member.
member_record joined(const member_record &a, const member_record &b);
member_pulse joined(const member_pulse &a, const member_pulse &b);

bool isSuspect(const member_record &record);
policy::member_state stateOf(const member_record &record);
policy::member memberOf(const member_record &record);
member_record recordOf(const policy::member &self);

/// @returns Number that stands for one life of one member in pulses and probes. 64 bits: taking one
///          member's applied version for another's would make a configuration look in force where
///          it is not.
std::uint64_t handleOf(const member_record &record);

} // namespace poplarspool::peer
