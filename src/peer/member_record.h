#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/policy/view.h"

#include <cstdint>

namespace poplarspool::peer {

/// Data that a member sends periodically. Of two copies the one with the higher sequence wins.
struct member_heartbeat
{
    std::uint64_t sequence = 0; ///< Assigned by the member; increases within an incarnation.
    std::uint64_t appliedVersion = 0;
    std::uint32_t openStreams = 0;
    mono_time confirmedAt{}; ///< On this instance's clock; the clock's epoch means never.

    bool operator==(const member_heartbeat &) const = default;
};

/// Known state of one member. The state is a join-semilattice (a state-based CRDT), so that
/// updates may arrive late, twice and in any order. A higher incarnation replaces the whole
/// record; within an incarnation each field is merged separately.
struct member_record
{
    instance_id id;
    zone_id zone;
    endpoint callerAddress;
    endpoint peerAddress;
    incarnation_number incarnation = 0;
    std::uint32_t refutation = 0; ///< Set by the member: refutes suspicions up to this number.
    std::uint32_t suspicion = 0; ///< The member is suspected if this exceeds `refutation`.
    bool isLeaving = false; ///< Never reset within an incarnation.
    bool isDead = false; ///< Never reset within an incarnation.
    mono_time diedAt{}; ///< On this instance's clock; set if the member is dead.
    member_heartbeat heartbeat;

    bool operator==(const member_record &) const = default;
};

/// @returns The least upper bound of both; the operation is commutative, associative and
///          idempotent.
/// @attention Both records must be of the same member.
member_record merged(const member_record &a, const member_record &b);
member_heartbeat merged(const member_heartbeat &a, const member_heartbeat &b);

bool isSuspect(const member_record &record);
policy::member_state stateOf(const member_record &record);
policy::member memberOf(const member_record &record);
member_record recordOf(const policy::member &self);

/// @returns Hash that identifies one incarnation of one member in heartbeats and probes. It has 64
///          bits to prevent collisions: if one member's applied version were taken for another's,
///          a configuration would seem to be in force where it is not.
std::uint64_t handleOf(const member_record &record);

} // namespace poplarspool::peer
