#include "peer/member_record.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <tuple>

namespace poplarspool::peer {

namespace {

/// The higher sequence number wins. Copies of one heartbeat differ only in their transit time,
/// which the ages on the wire do not include; so the copy with the earlier confirmation is more
/// accurate.
auto rankOf(const member_heartbeat &heartbeat)
{
    return std::tuple(heartbeat.sequence, heartbeat.appliedVersion, heartbeat.openStreams,
                      -heartbeat.confirmedAt.time_since_epoch().count());
}

/// These fields are constant within an incarnation. The order makes all instances choose the same
/// record if two processes share an id and an incarnation.
auto placeOf(const member_record &record)
{
    return std::tie(record.zone, record.callerAddress, record.peerAddress);
}

mono_time earlierDeath(const member_record &a, const member_record &b)
{
    if (a.isDead && b.isDead)
        return std::min(a.diedAt, b.diedAt);
    return a.isDead ? a.diedAt : b.diedAt;
}

} // namespace

member_heartbeat merged(const member_heartbeat &a, const member_heartbeat &b)
{
    return rankOf(a) < rankOf(b) ? b : a;
}

member_record merged(const member_record &a, const member_record &b)
{
    if (a.incarnation != b.incarnation)
        return a.incarnation > b.incarnation ? a : b;
    member_record result = placeOf(a) < placeOf(b) ? b : a;
    result.refutation = std::max(a.refutation, b.refutation);
    result.suspicion = std::max(a.suspicion, b.suspicion);
    result.isLeaving = a.isLeaving || b.isLeaving;
    result.isDead = a.isDead || b.isDead;
    result.diedAt = earlierDeath(a, b);
    result.heartbeat = merged(a.heartbeat, b.heartbeat);
    return result;
}

bool isSuspect(const member_record &record)
{
    return record.suspicion > record.refutation;
}

policy::member_state stateOf(const member_record &record)
{
    if (record.isDead)
        return policy::member_state::Dead;
    if (record.isLeaving)
        return policy::member_state::Leaving;
    return isSuspect(record) ? policy::member_state::Suspect : policy::member_state::Alive;
}

policy::member memberOf(const member_record &record)
{
    policy::member member;
    member.id = record.id;
    member.zone = record.zone;
    member.callerAddress = record.callerAddress;
    member.peerAddress = record.peerAddress;
    member.incarnation = record.incarnation;
    member.state = stateOf(record);
    member.appliedVersion = record.heartbeat.appliedVersion;
    member.openStreams = record.heartbeat.openStreams;
    member.confirmedAt = record.heartbeat.confirmedAt;
    return member;
}

member_record recordOf(const policy::member &self)
{
    member_record record;
    record.id = self.id;
    record.zone = self.zone;
    record.callerAddress = self.callerAddress;
    record.peerAddress = self.peerAddress;
    record.incarnation = self.incarnation;
    record.isLeaving = self.state == policy::member_state::Leaving;
    record.heartbeat.appliedVersion = self.appliedVersion;
    record.heartbeat.openStreams = self.openStreams;
    record.heartbeat.confirmedAt = self.confirmedAt;
    return record;
}

std::uint64_t handleOf(const member_record &record)
{
    return hashOf(record.id.text, record.incarnation);
}

} // namespace poplarspool::peer
