#include "peer/gossip_table.h"

#include "peer/frame.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>

namespace poplarspool::peer {

gossip_table::gossip_table(member_record self, table_times times) : times(times)
{
    own.record = std::move(self);
    own.handle = handleOf(own.record);
    own.sender = senderNumber(own.record.id);
    nextHeartbeat = own.record.heartbeat;
}

void gossip_table::setPeerAddress(const endpoint &address)
{
    own.record.peerAddress = address;
    isChanged = true;
}

bool gossip_table::setApplied(std::uint64_t appliedVersion, mono_time confirmedAt)
{
    const bool isNew = nextHeartbeat.appliedVersion != appliedVersion;
    nextHeartbeat.appliedVersion = appliedVersion;
    nextHeartbeat.confirmedAt = confirmedAt;
    isChanged = isChanged || isNew;
    return isNew;
}

void gossip_table::setOpenStreams(std::uint32_t count)
{
    nextHeartbeat.openStreams = count;
}

void gossip_table::setLeaving()
{
    const policy::member_state before = stateOf(own.record);
    own.record.isLeaving = true;
    onStateChange(own, before);
}

void gossip_table::setLeft(mono_time now)
{
    const policy::member_state before = stateOf(own.record);
    own.record.isLeaving = true;
    own.record.isDead = true;
    own.record.diedAt = now;
    onStateChange(own, before);
}

void gossip_table::publishHeartbeat()
{
    // Changes take effect only with a new sequence number, since peers may keep either of two
    // copies of one heartbeat.
    nextHeartbeat.sequence = own.record.heartbeat.sequence + 1;
    own.record.heartbeat = nextHeartbeat;
    own.transmits.heartbeat = 0;
}

void gossip_table::merge(const member_record &update, mono_time now)
{
    if (update.id == own.record.id)
        return mergeOwn(update);
    const auto found = known.find(update.id);
    if (found == known.end())
        return add(update, now);
    known_member &member = found->second;
    const member_record updated = merged(member.record, update);
    if (updated == member.record)
        return;
    const member_record before = member.record;
    member.record = updated;
    if (before.incarnation != updated.incarnation)
        index(member);
    if (isSuspect(updated) && (!isSuspect(before) || before.incarnation != updated.incarnation))
        member.suspectedAt = now;
    if (updated.heartbeat.sequence != before.heartbeat.sequence)
        member.transmits.heartbeat = 0;
    isChanged = isChanged || updated.heartbeat.appliedVersion != before.heartbeat.appliedVersion;
    // The record is sent again only if something besides the heartbeat changed.
    member_record withHeartbeat = before;
    withHeartbeat.heartbeat = updated.heartbeat;
    if (withHeartbeat != updated) {
        member.transmits.record = 0;
        onStateChange(member,
                      before.incarnation == updated.incarnation ? stateOf(before)
                                                                : policy::member_state::Dead);
    }
}

bool gossip_table::merge(const heartbeat_update &update)
{
    if (update.handle == own.handle)
        return true;
    const auto found = byHandle.find(update.handle);
    if (found == byHandle.end())
        return false;
    known_member &member = *found->second;
    const member_heartbeat before = member.record.heartbeat;
    member.record.heartbeat = merged(before, update.heartbeat);
    if (member.record.heartbeat.sequence != before.sequence)
        member.transmits.heartbeat = 0;
    isChanged = isChanged || member.record.heartbeat.appliedVersion != before.appliedVersion;
    return true;
}

void gossip_table::mergeOwn(const member_record &update)
{
    if (own.record.isDead)
        return;
    if (update.incarnation < own.record.incarnation) {
        // Some member still has a former incarnation: send the own record again.
        own.transmits.record = 0;
        return;
    }
    if (update.incarnation > own.record.incarnation) {
        const bool isFormerSelf = update.isDead || update.peerAddress == own.record.peerAddress;
        if (isFormerSelf) {
            startNewIncarnation(update.incarnation);
        } else if (!replaced) {
            replaced = true;
            isChanged = true;
            changes.push_back({own.record.id, update.incarnation, policy::member_state::Leaving});
        }
        return;
    }
    own.record.isLeaving = own.record.isLeaving || update.isLeaving;
    if (update.isDead)
        return startNewIncarnation(update.incarnation);
    if (update.suspicion > own.record.refutation) {
        own.record.refutation = update.suspicion;
        own.transmits.record = 0;
        changes.push_back({own.record.id, own.record.incarnation, stateOf(own.record)});
    }
}

/// Called when this process was considered dead while it was paused or partitioned. The old
/// incarnation stays dead everywhere, so that its late messages have no effect; the process
/// continues with a new one. The leaving flag is kept, because it was this process's own decision.
void gossip_table::startNewIncarnation(incarnation_number above)
{
    own.record.incarnation = above + 1;
    own.record.refutation = 0;
    own.record.suspicion = 0;
    own.record.heartbeat.sequence = 1;
    own.handle = handleOf(own.record);
    own.transmits = {};
    replaced = false;
    isChanged = true;
    changes.push_back({own.record.id, own.record.incarnation, stateOf(own.record)});
}

void gossip_table::add(const member_record &update, mono_time now)
{
    if (update.isDead && now - update.diedAt > times.deadRetention)
        return;
    if (!makeRoom())
        return;
    known_member &member = known[update.id];
    member.record = update;
    member.sender = senderNumber(update.id);
    if (isSuspect(update))
        member.suspectedAt = now;
    index(member);
    bySender[member.sender] = &member;
    onStateChange(member, policy::member_state::Dead);
}

bool gossip_table::suspect(const instance_id &id, incarnation_number suspectedIncarnation,
                           mono_time now)
{
    const auto found = known.find(id);
    if (found == known.end())
        return false;
    known_member &member = found->second;
    if (member.record.incarnation != suspectedIncarnation || member.record.isDead)
        return false;
    if (isSuspect(member.record))
        return true;
    const policy::member_state before = stateOf(member.record);
    member.record.suspicion = member.record.refutation + 1;
    member.suspectedAt = now;
    onStateChange(member, before);
    return true;
}

void gossip_table::expire(mono_time now)
{
    std::vector<instance_id> expired;
    for (auto &[id, member] : known) {
        member_record &record = member.record;
        const policy::member_state before = stateOf(record);
        if (!record.isDead && isSuspect(record)
            && now - member.suspectedAt >= times.suspicionTimeout) {
            record.isDead = true;
            record.diedAt = now;
            onStateChange(member, before);
        }
        if (record.isDead && now - record.diedAt > times.deadRetention)
            expired.push_back(id);
    }
    for (const instance_id &id : expired)
        remove(id);
}

void gossip_table::restartSuspicionTimers(mono_time now)
{
    for (auto &[id, member] : known) {
        if (isSuspect(member.record))
            member.suspectedAt = now;
    }
}

const known_member *gossip_table::find(const instance_id &id) const
{
    const auto found = known.find(id);
    return found == known.end() ? nullptr : &found->second;
}

const known_member *gossip_table::findSender(std::uint64_t sender) const
{
    const auto found = bySender.find(sender);
    return found == bySender.end() ? nullptr : found->second;
}

const known_member *gossip_table::findHandle(std::uint64_t handle) const
{
    const auto found = byHandle.find(handle);
    return found == byHandle.end() ? nullptr : found->second;
}

std::size_t gossip_table::livingOtherCount() const
{
    if (!living) {
        living = std::count_if(known.begin(), known.end(),
                               [](const auto &entry) { return !entry.second.record.isDead; });
    }
    return *living;
}

std::vector<policy::member> gossip_table::members() const
{
    std::vector<policy::member> result;
    result.reserve(known.size() + 1);
    for (const auto &[id, member] : known) {
        if (!member.record.isDead)
            result.push_back(memberOf(member.record));
    }
    member_record present = own.record;
    present.heartbeat = nextHeartbeat;
    policy::member self = memberOf(present);
    if (replaced)
        self.state = std::max(self.state, policy::member_state::Leaving);
    if (self.state != policy::member_state::Dead) {
        const auto position = std::lower_bound(
                result.begin(), result.end(), self,
                [](const policy::member &a, const policy::member &b) { return a.id < b.id; });
        result.insert(position, std::move(self));
    }
    return result;
}

std::vector<known_member *> gossip_table::recordsToSend(std::uint32_t limit)
{
    std::vector<known_member *> result;
    if (own.transmits.record < limit)
        result.push_back(&own);
    for (auto &[id, member] : known) {
        if (member.transmits.record < limit)
            result.push_back(&member);
    }
    return result;
}

std::vector<known_member *> gossip_table::heartbeatsToSend(std::uint32_t limit)
{
    std::vector<known_member *> result;
    if (own.transmits.heartbeat < limit)
        result.push_back(&own);
    for (auto &[id, member] : known) {
        if (member.transmits.heartbeat < limit && !member.record.isDead)
            result.push_back(&member);
    }
    return result;
}

bool gossip_table::hasItemsToSend(std::uint32_t limit) const
{
    const auto isPending = [&](const known_member &member) {
        const bool isHeartbeatPending = member.transmits.heartbeat < limit && !member.record.isDead;
        return member.transmits.record < limit || isHeartbeatPending;
    };
    return isPending(own) || std::any_of(known.begin(), known.end(), [&](const auto &entry) {
               return isPending(entry.second);
           });
}

std::vector<member_change> gossip_table::takeChanges()
{
    return std::exchange(changes, {});
}

bool gossip_table::takeIsChanged()
{
    return std::exchange(isChanged, false);
}

void gossip_table::onStateChange(known_member &member, policy::member_state before)
{
    member.transmits.record = 0;
    isChanged = true;
    living.reset();
    const policy::member_state now = stateOf(member.record);
    if (now != before)
        changes.push_back({member.record.id, member.record.incarnation, now});
}

void gossip_table::index(known_member &member)
{
    byHandle.erase(member.handle);
    member.handle = handleOf(member.record);
    byHandle[member.handle] = &member;
}

void gossip_table::remove(const instance_id &id)
{
    const auto found = known.find(id);
    byHandle.erase(found->second.handle);
    bySender.erase(found->second.sender);
    known.erase(found);
}

/// If the table is full, evicts the member that died first.
/// @returns False if the table is full and no member is dead.
bool gossip_table::makeRoom()
{
    if (known.size() + 1 < config::maxMembers)
        return true;
    const known_member *oldest = nullptr;
    for (const auto &[id, member] : known) {
        const bool isOlder = oldest == nullptr || member.record.diedAt < oldest->record.diedAt;
        if (member.record.isDead && isOlder)
            oldest = &member;
    }
    if (oldest == nullptr)
        return false;
    remove(instance_id(oldest->record.id));
    return true;
}

} // namespace poplarspool::peer
