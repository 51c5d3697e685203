#pragma once

#include "peer/gossip_message.h"
#include "peer/member_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarspool::peer {

struct table_times
{
    milliseconds suspicionTimeout; ///< Time from suspicion until a member counts as dead.
    milliseconds deadRetention; ///< Time after which dead members are removed.
};

/// A change of a member's state, for the event log.
struct member_change
{
    instance_id id;
    incarnation_number incarnation = 0;
    policy::member_state state = policy::member_state::Alive;

    bool operator==(const member_change &) const = default;
};

/// How often each part of a member's record was sent since it changed.
struct transmit_counts
{
    std::uint32_t record = 0;
    std::uint32_t heartbeat = 0;
};

struct known_member
{
    member_record record;
    std::uint64_t handle = 0;
    std::uint64_t sender = 0; ///< senderNumber() of the instance.
    mono_time suspectedAt{}; ///< When this table first recorded the current suspicion.
    transmit_counts transmits;
};

/// Membership as known to one instance: a single-threaded state machine that takes the time as an
/// argument.
///
/// A dead incarnation never becomes alive again. An instance that learns that it is suspected
/// refutes the suspicion within its incarnation. One that learns that it is considered dead (it
/// was paused or partitioned) continues with a higher incarnation. One that learns of a higher
/// incarnation with its own id at another address was replaced, and reports itself as leaving.
class gossip_table
{
public:
    gossip_table(member_record self, table_times times);

    /// Called after the socket is bound, since the port is not known before.
    void setPeerAddress(const endpoint &address);
    /// @returns Whether the version is new and should be sent to peers soon.
    bool setApplied(std::uint64_t appliedVersion, mono_time confirmedAt);
    void setOpenStreams(std::uint32_t count);
    void setLeaving();
    /// Marks this incarnation as left and dead, so that peers need not suspect it first.
    void setLeft(mono_time now);
    /// Starts a new heartbeat, which makes the values set since the last one visible to others.
    void publishHeartbeat();

    void merge(const member_record &update, mono_time now);
    /// @returns Whether the member is known.
    bool merge(const heartbeat_update &update);
    /// Suspects a member.
    /// @returns Whether it is known with that incarnation, not dead, and now suspected.
    bool suspect(const instance_id &id, incarnation_number suspectedIncarnation, mono_time now);
    /// Applies the timeouts: suspects become dead, dead members are removed.
    void expire(mono_time now);
    /// Restarts all suspicion timers after a pause of this process, in which it could not receive
    /// refutations.
    void restartSuspicionTimers(mono_time now);

    /// @returns This instance as others may see it: as of the last heartbeat.
    const known_member &self() const { return own; }
    /// @returns Whether another process with a higher incarnation uses this instance's id.
    bool isReplaced() const { return replaced; }
    /// @returns nullptr if the member is unknown. Dead members are found.
    const known_member *find(const instance_id &id) const;
    const known_member *findSender(std::uint64_t sender) const;
    const known_member *findHandle(std::uint64_t handle) const;
    const std::map<instance_id, known_member> &others() const { return known; }
    std::size_t livingOtherCount() const;

    /// @returns All members that are not dead, this instance included, sorted by id.
    std::vector<policy::member> members() const;

    /// @returns Members whose record or heartbeat was sent less than `limit` times since it
    ///          changed.
    std::vector<known_member *> recordsToSend(std::uint32_t limit);
    std::vector<known_member *> heartbeatsToSend(std::uint32_t limit);
    bool hasItemsToSend(std::uint32_t limit) const;

    std::vector<member_change> takeChanges();
    /// @returns Whether members() has changed since the last call, apart from loads.
    bool takeIsChanged();

private:
    void mergeOwn(const member_record &update);
    void startNewIncarnation(incarnation_number above);
    void add(const member_record &update, mono_time now);
    void onStateChange(known_member &member, policy::member_state before);
    void index(known_member &member);
    void remove(const instance_id &id);
    bool makeRoom();

    const table_times times;
    known_member own;
    member_heartbeat nextHeartbeat; ///< Content of the next heartbeat.
    bool replaced = false;
    bool isChanged = true;
    std::map<instance_id, known_member> known;
    std::unordered_map<std::uint64_t, known_member *> byHandle;
    std::unordered_map<std::uint64_t, known_member *> bySender;
    std::vector<member_change> changes;
    mutable std::optional<std::size_t> living; ///< Cached; reset by a change of state.
};

} // namespace poplarspool::peer
