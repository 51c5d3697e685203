#include "peer/gossip_table.h"

#include "peer/frame.h"
#include "poplarspool/config.h"

#include <algorithm>

namespace poplarspool::peer {

gossip_table::gossip_table(member_record self, table_times times) : times(times)
{
    own.record = std::move(self);
    own.handle = handleOf(own.record);
    own.sender = senderNumber(own.record.id);
    nextPulse = own.record.pulse;
}

void gossip_table::setPeerAddress(const endpoint &address)
{
    own.record.peerAddress = address;
    isChanged = true;
}

bool gossip_table::setApplied(std::uint64_t appliedVersion, mono_time confirmedAt)
{
    const bool isNew = nextPulse.appliedVersion != appliedVersion;
    nextPulse.appliedVersion = appliedVersion;
    nextPulse.confirmedAt = confirmedAt;
    isChanged = isChanged || isNew;
    return isNew;
}

void gossip_table::setOpenStreams(std::uint32_t count)
{
    nextPulse.openStreams = count;
}

void gossip_table::setLeaving()
{
    const policy::member_state before = stateOf(own.record);
    own.record.isLeaving = true;
    onState(own, before);
}

void gossip_table::setGone(mono_time now)
{
    const policy::member_state before = stateOf(own.record);
    own.record.isLeaving = true;
    own.record.isDead = true;
    own.record.diedAt = now;
    onState(own, before);
}

void gossip_table::beat()
{
    // One heartbeat always says the same: peers may keep either of two copies.
    nextPulse.heartbeat = own.record.pulse.heartbeat + 1;
    own.record.pulse = nextPulse;
    own.told.pulse = 0;
}

void gossip_table::join(const member_record &news, mono_time now)
{
    if (news.id == own.record.id)
        return joinOwn(news);
    const auto found = known.find(news.id);
    if (found == known.end())
        return add(news, now);
    known_member &member = found->second;
    const member_record merged = joined(member.record, news);
    if (merged == member.record)
        return;
    const member_record before = member.record;
    member.record = merged;
    if (before.life != merged.life)
        index(member);
    if (isSuspect(merged) && (!isSuspect(before) || before.life != merged.life))
        member.suspectedAt = now;
    if (merged.pulse.heartbeat != before.pulse.heartbeat)
        member.told.pulse = 0;
    isChanged = isChanged || merged.pulse.appliedVersion != before.pulse.appliedVersion;
    // Told again only for what pulses don't carry: an older copy of a pulse is no news.
    member_record withPulse = before;
    withPulse.pulse = merged.pulse;
    if (withPulse != merged) {
        member.told.record = 0;
        onState(member, before.life == merged.life ? stateOf(before) : policy::member_state::Dead);
    }
}

bool gossip_table::join(const known_pulse &news)
{
    if (news.handle == own.handle)
        return true;
    const auto found = byHandle.find(news.handle);
    if (found == byHandle.end())
        return false;
    known_member &member = *found->second;
    const member_pulse before = member.record.pulse;
    member.record.pulse = joined(before, news.pulse);
    if (member.record.pulse.heartbeat != before.heartbeat)
        member.told.pulse = 0;
    isChanged = isChanged || member.record.pulse.appliedVersion != before.appliedVersion;
    return true;
}

void gossip_table::joinOwn(const member_record &news)
{
    if (own.record.isDead)
        return;
    if (news.life < own.record.life) {
        // Somebody still holds a former life: tell again.
        own.told.record = 0;
        return;
    }
    if (news.life > own.record.life) {
        const bool isFormerSelf = news.isDead || news.peerAddress == own.record.peerAddress;
        if (isFormerSelf) {
            startNewLife(news.life);
        } else if (!replaced) {
            replaced = true;
            isChanged = true;
            changes.push_back({own.record.id, news.life, policy::member_state::Leaving});
        }
        return;
    }
    own.record.isLeaving = own.record.isLeaving || news.isLeaving;
    if (news.isDead)
        return startNewLife(news.life);
    if (news.suspicion > own.record.refutation) {
        own.record.refutation = news.suspicion;
        own.told.record = 0;
        changes.push_back({own.record.id, own.record.life, stateOf(own.record)});
    }
}

/// This process was taken for dead while it was frozen or cut off. That life stays dead everywhere,
/// so that nothing it said before comes back; the process goes on under a new one. Leaving stays:
/// it was this process's own decision.
void gossip_table::startNewLife(incarnation above)
{
    own.record.life = above + 1;
    own.record.refutation = 0;
    own.record.suspicion = 0;
    own.record.pulse.heartbeat = 1;
    own.handle = handleOf(own.record);
    own.told = {};
    replaced = false;
    isChanged = true;
    changes.push_back({own.record.id, own.record.life, stateOf(own.record)});
}

void gossip_table::add(const member_record &news, mono_time now)
{
    if (news.isDead && now - news.diedAt > times.deadKeepTime)
        return;
    if (!makeRoom())
        return;
    known_member &member = known[news.id];
    member.record = news;
    member.sender = senderNumber(news.id);
    if (isSuspect(news))
        member.suspectedAt = now;
    index(member);
    bySender[member.sender] = &member;
    onState(member, policy::member_state::Dead);
}

bool gossip_table::suspect(const instance_id &id, incarnation life, mono_time now)
{
    const auto found = known.find(id);
    if (found == known.end())
        return false;
    known_member &member = found->second;
    if (member.record.life != life || member.record.isDead)
        return false;
    if (isSuspect(member.record))
        return true;
    const policy::member_state before = stateOf(member.record);
    member.record.suspicion = member.record.refutation + 1;
    member.suspectedAt = now;
    onState(member, before);
    return true;
}

void gossip_table::expire(mono_time now)
{
    std::vector<instance_id> forgotten;
    for (auto &[id, member] : known) {
        member_record &record = member.record;
        const policy::member_state before = stateOf(record);
        if (!record.isDead && isSuspect(record) && now - member.suspectedAt >= times.deadTime) {
            record.isDead = true;
            record.diedAt = now;
            onState(member, before);
        }
        if (record.isDead && now - record.diedAt > times.deadKeepTime)
            forgotten.push_back(id);
    }
    for (const instance_id &id : forgotten)
        forget(id);
}

void gossip_table::restartSuspicions(mono_time now)
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

std::size_t gossip_table::livingOthers() const
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
    present.pulse = nextPulse;
    policy::member self = memberOf(present);
    if (replaced)
        self.state = std::max(self.state, policy::member_state::Leaving);
    if (self.state != policy::member_state::Dead) {
        const auto place = std::lower_bound(
                result.begin(), result.end(), self,
                [](const policy::member &a, const policy::member &b) { return a.id < b.id; });
        result.insert(place, std::move(self));
    }
    return result;
}

std::vector<known_member *> gossip_table::untoldRecords(std::uint32_t limit)
{
    std::vector<known_member *> result;
    if (own.told.record < limit)
        result.push_back(&own);
    for (auto &[id, member] : known) {
        if (member.told.record < limit)
            result.push_back(&member);
    }
    return result;
}

std::vector<known_member *> gossip_table::untoldPulses(std::uint32_t limit)
{
    std::vector<known_member *> result;
    if (own.told.pulse < limit)
        result.push_back(&own);
    for (auto &[id, member] : known) {
        if (member.told.pulse < limit && !member.record.isDead)
            result.push_back(&member);
    }
    return result;
}

bool gossip_table::hasUntold(std::uint32_t limit) const
{
    const auto isUntold = [&](const known_member &member) {
        const bool isPulseUntold = member.told.pulse < limit && !member.record.isDead;
        return member.told.record < limit || isPulseUntold;
    };
    return isUntold(own) || std::any_of(known.begin(), known.end(), [&](const auto &entry) {
               return isUntold(entry.second);
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

void gossip_table::onState(known_member &member, policy::member_state before)
{
    member.told.record = 0;
    isChanged = true;
    living.reset();
    const policy::member_state now = stateOf(member.record);
    if (now != before)
        changes.push_back({member.record.id, member.record.life, now});
}

void gossip_table::index(known_member &member)
{
    byHandle.erase(member.handle);
    member.handle = handleOf(member.record);
    byHandle[member.handle] = &member;
}

void gossip_table::forget(const instance_id &id)
{
    const auto found = known.find(id);
    byHandle.erase(found->second.handle);
    bySender.erase(found->second.sender);
    known.erase(found);
}

/// A full table gives up the member that died first; where nobody is dead, newcomers are not taken.
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
    forget(instance_id(oldest->record.id));
    return true;
}

} // namespace poplarspool::peer
